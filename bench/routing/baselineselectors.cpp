#include "baselineselectors.h"

#include <algorithm>

namespace lycheelanding::bench::routing {

using decisions::routing::Choice;
using decisions::routing::RouteRequest;

void BaselineSelector::setCandidates(const std::vector<decisions::routing::BackendCandidate> &candidates)
{
    m_rankStates.clear();
    for (const auto &candidate : candidates) {
        for (const auto rank : candidate.ranks) {
            m_rankStates.push_back({candidate.vm, rank});
        }
    }
}

void BaselineSelector::reportLoad(const core::VmId &vm, const decisions::routing::LoadReport &report)
{
    for (auto &state : m_rankStates) {
        for (const auto &load : report.ranks) {
            if (state.vm == vm && state.rank == load.rank) {
                state.reportedTokens = load.outstandingTokens;
            }
        }
    }
}

void BaselineSelector::setLeaving(const core::VmId &vm)
{
    for (auto &state : m_rankStates) {
        state.isLeaving = state.isLeaving || state.vm == vm;
    }
}

void BaselineSelector::requestSent(decisions::routing::AttemptId attempt, const Choice &choice, std::uint64_t,
                                   core::TimePoint)
{
    for (std::size_t index = 0; index < m_rankStates.size(); ++index) {
        if (m_rankStates[index].vm == choice.vm && m_rankStates[index].rank == choice.rank) {
            ++m_rankStates[index].inFlight;
            m_attempts[attempt] = index;
        }
    }
}

void BaselineSelector::requestEnded(decisions::routing::AttemptId attempt, decisions::routing::Outcome, core::TimePoint)
{
    const auto found = m_attempts.find(attempt);
    if (found != m_attempts.end()) {
        --m_rankStates[found->second].inFlight;
        m_attempts.erase(found);
    }
}

bool BaselineSelector::isAvailable(const core::VmId &vm, core::TimePoint) const
{
    return std::any_of(m_rankStates.begin(), m_rankStates.end(),
                       [&](const RankState &state) { return state.vm == vm && !state.isLeaving; });
}

std::vector<BaselineSelector::RankState *> BaselineSelector::usableRanks(const RouteRequest &request)
{
    std::vector<RankState *> ranks;
    for (auto &state : m_rankStates) {
        const bool isExcluded
            = std::find(request.excluded.begin(), request.excluded.end(), state.vm) != request.excluded.end();
        if (!state.isLeaving && !isExcluded) {
            ranks.push_back(&state);
        }
    }
    return ranks;
}

core::Result<Choice> BaselineSelector::choiceFor(const RankState *state)
{
    return Choice{state->vm, state->rank, false};
}

core::Result<Choice> RoundRobinSelector::choose(const RouteRequest &request, core::TimePoint)
{
    const auto ranks = usableRanks(request);
    if (ranks.empty()) {
        return core::Error{core::ErrorKind::NoBackendServer, "no usable rank"};
    }
    return choiceFor(ranks[m_nextIndex++ % ranks.size()]);
}

core::Result<Choice> LeastReportedSelector::choose(const RouteRequest &request, core::TimePoint)
{
    auto ranks = usableRanks(request);
    if (ranks.empty()) {
        return core::Error{core::ErrorKind::NoBackendServer, "no usable rank"};
    }
    // min_element returns the first minimum; starting at a random rank breaks ties at random.
    std::rotate(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(m_random.nextBelow(ranks.size())),
                ranks.end());
    return choiceFor(*std::min_element(ranks.begin(), ranks.end(), [](const RankState *left, const RankState *right) {
        return left->reportedTokens < right->reportedTokens;
    }));
}

core::Result<Choice> TwoChoicesSelector::choose(const RouteRequest &request, core::TimePoint)
{
    const auto ranks = usableRanks(request);
    if (ranks.empty()) {
        return core::Error{core::ErrorKind::NoBackendServer, "no usable rank"};
    }
    const RankState *first = ranks[m_random.nextBelow(ranks.size())];
    const RankState *second = ranks[m_random.nextBelow(ranks.size())];
    return choiceFor(first->inFlight <= second->inFlight ? first : second);
}

} // namespace lycheelanding::bench::routing

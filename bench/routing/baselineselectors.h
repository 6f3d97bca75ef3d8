#pragma once

#include "lycheelanding/core/random.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/decisions/routing/loadreport.h"
#include "lycheelanding/decisions/routing/routerequest.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace lycheelanding::bench::routing {

/// Common part of the baseline selectors, with the interface of BackendSelector. Keeps the outstanding tokens of the
/// last load report and the number of this entry's requests in flight for each rank.
class BaselineSelector
{
public:
    void setCandidates(const std::vector<decisions::routing::BackendCandidate> &candidates);
    void setLiveEntries(std::size_t) { }
    void reportLoad(const core::VmId &vm, const decisions::routing::LoadReport &report);
    void setLeaving(const core::VmId &vm);
    void requestSent(decisions::routing::AttemptId attempt, const decisions::routing::Choice &choice, std::uint64_t,
                     core::TimePoint);
    void firstToken(decisions::routing::AttemptId, std::uint64_t, core::TimePoint) { }
    void tokenProgress(decisions::routing::AttemptId, std::uint64_t, core::TimePoint) { }
    void requestEnded(decisions::routing::AttemptId attempt, decisions::routing::Outcome, core::TimePoint);
    bool isAvailable(const core::VmId &vm, core::TimePoint) const;

protected:
    struct RankState
    {
        core::VmId vm;
        core::RankIndex rank;
        std::uint64_t reportedTokens = 0;
        std::size_t inFlight = 0;
        bool isLeaving = false;
    };

    std::vector<RankState *> usableRanks(const decisions::routing::RouteRequest &request);
    static core::Result<decisions::routing::Choice> choiceFor(const RankState *state);

private:
    std::vector<RankState> m_rankStates;
    std::unordered_map<decisions::routing::AttemptId, std::size_t> m_attempts;
};

/// Round robin over the usable ranks.
class RoundRobinSelector : public BaselineSelector
{
public:
    explicit RoundRobinSelector(std::uint64_t seed) : m_nextIndex(seed % 32) { }
    core::Result<decisions::routing::Choice> choose(const decisions::routing::RouteRequest &request, core::TimePoint);

private:
    std::size_t m_nextIndex;
};

/// Chooses the rank with the fewest outstanding tokens in its last load report; breaks ties at random.
class LeastReportedSelector : public BaselineSelector
{
public:
    explicit LeastReportedSelector(std::uint64_t seed) : m_random(seed) { }
    core::Result<decisions::routing::Choice> choose(const decisions::routing::RouteRequest &request, core::TimePoint);

private:
    core::RandomSequence m_random;
};

/// Power of two choices: draws two ranks and chooses the one with fewer of this entry's requests in flight.
class TwoChoicesSelector : public BaselineSelector
{
public:
    explicit TwoChoicesSelector(std::uint64_t seed) : m_random(seed) { }
    core::Result<decisions::routing::Choice> choose(const decisions::routing::RouteRequest &request, core::TimePoint);

private:
    core::RandomSequence m_random;
};

} // namespace lycheelanding::bench::routing

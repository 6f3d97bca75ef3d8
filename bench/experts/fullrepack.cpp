#include "fullrepack.h"

#include <algorithm>
#include <numeric>

namespace lycheelanding::bench::experts {

using decisions::experts::ExpertMap;

namespace {

/// Number of replicas of each expert: uses every slot, with at most one replica of an expert on each rank.
std::vector<std::size_t> replicasOf(std::span<const double> tokens, std::size_t slots, std::size_t ranks)
{
    std::vector<std::size_t> replicas(tokens.size(), 1);
    for (std::size_t used = tokens.size(); used < slots; ++used) {
        std::size_t hottestExpert = tokens.size();
        double maxTokensPerReplica = -1;
        for (std::size_t expert = 0; expert < tokens.size(); ++expert) {
            const double tokensPerReplica = tokens[expert] / static_cast<double>(replicas[expert]);
            if (replicas[expert] < ranks && tokensPerReplica > maxTokensPerReplica) {
                maxTokensPerReplica = tokensPerReplica;
                hottestExpert = expert;
            }
        }
        if (hottestExpert == tokens.size()) {
            break;
        }
        ++replicas[hottestExpert];
    }
    return replicas;
}

/// The least loaded rank with a free slot and without the expert, if there is one.
std::optional<std::size_t> leastLoaded(const ExpertMap &map, const std::vector<double> &loads,
                                       const std::vector<std::size_t> &used, core::LayerIndex layer,
                                       core::ExpertIndex expert)
{
    std::optional<std::size_t> bestRank;
    for (std::size_t rank = 0; rank < loads.size(); ++rank) {
        const bool canHold
            = used[rank] < map.shape().slotsPerRank && !map.holds({core::RankIndex(rank), layer, expert});
        if (canHold && (!bestRank || loads[rank] < loads[*bestRank])) {
            bestRank = rank;
        }
    }
    return bestRank;
}

} // namespace

void packLayer(ExpertMap &map, std::size_t layer, std::span<const double> tokens)
{
    const auto &shape = map.shape();
    const auto replicas = replicasOf(tokens, shape.ranks * shape.slotsPerRank, shape.ranks);
    std::vector<std::size_t> expertsByLoad(tokens.size());
    std::iota(expertsByLoad.begin(), expertsByLoad.end(), 0);
    const auto tokensPerReplica
        = [&](std::size_t expert) { return tokens[expert] / static_cast<double>(replicas[expert]); };
    std::stable_sort(expertsByLoad.begin(), expertsByLoad.end(), [&](std::size_t left, std::size_t right) {
        return tokensPerReplica(left) > tokensPerReplica(right);
    });
    std::vector<double> loads(shape.ranks);
    std::vector<std::size_t> used(shape.ranks);
    for (const auto index : expertsByLoad) {
        const core::ExpertIndex expert(index);
        for (std::size_t replica = 0; replica < replicas[index]; ++replica) {
            const auto rank = leastLoaded(map, loads, used, core::LayerIndex(layer), expert);
            if (!rank) {
                break;
            }
            map.addReplica(core::LayerIndex(layer), expert, core::RankIndex(*rank));
            loads[*rank] += tokensPerReplica(index);
            ++used[*rank];
        }
    }
}

FullRepack::FullRepack(const decisions::experts::MapShape &shape, std::uint64_t bytesPerExpert, core::Duration period)
    : m_shape(shape), m_bytesPerExpert(bytesPerExpert), m_period(period), m_tokens(shape.layers),
      m_isSumOutdated(shape.layers, true)
{ }

void FullRepack::observe(const decisions::experts::ExpertCounts &counts)
{
    for (std::size_t layer = 0; layer < m_shape.layers; ++layer) {
        const auto tokens = counts.tokensOf(core::LayerIndex(layer));
        if (tokens.empty()) {
            continue;
        }
        if (m_isSumOutdated[layer]) {
            m_tokens[layer].assign(m_shape.experts, 0);
            m_isSumOutdated[layer] = false;
        }
        for (std::size_t expert = 0; expert < tokens.size(); ++expert) {
            m_tokens[layer][expert] += static_cast<double>(tokens[expert]);
        }
    }
}

void FullRepack::moveStarted(std::uint64_t /*bytes*/, core::TimePoint now)
{
    m_isMoveInProgress = true;
    m_lastMove = now;
    m_isSumOutdated.assign(m_shape.layers, true);
}

decisions::experts::Plan FullRepack::plan(const ExpertMap &current, const std::vector<core::RankIndex> & /*available*/,
                                          core::TimePoint now) const
{
    using namespace decisions::experts;
    if (m_isMoveInProgress) {
        return Stay{StayReason::MoveUnderWay};
    }
    const bool isKnown
        = std::none_of(m_tokens.begin(), m_tokens.end(), [](const auto &tokens) { return tokens.empty(); });
    if (!isKnown) {
        return Stay{StayReason::NoCounts};
    }
    if (m_lastMove && now - *m_lastMove < m_period) {
        return Stay{StayReason::GainTooSmall};
    }
    Move move;
    move.next = ExpertMap(m_shape, current.version().next());
    for (std::size_t layer = 0; layer < m_shape.layers; ++layer) {
        packLayer(move.next, layer, m_tokens[layer]);
    }
    move.loads = placementsToLoad(current, move.next);
    move.bytes = move.loads.size() * m_bytesPerExpert;
    return move;
}

} // namespace lycheelanding::bench::experts

#include "lycheelanding/rankgroups/groupplanner.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace lycheelanding::rankgroups {

namespace {

using namespace decisions::experts;

/// Minimum duration of the windows over which counts are summed: two forward passes, with some thousand choices per
/// layer.
constexpr std::chrono::milliseconds countWindow{100};
/// Duration after which a window ends without the counts of some rank.
constexpr std::chrono::milliseconds maxCountWindow{1500};
constexpr double bitsPerByte = 8.0;

MapShape mapShapeOf(const forwarding::ModelShape &model, std::size_t ranks)
{
    return {ranks, model.experts, model.layers, model.slotsPerRank};
}

PlannerSettings plannerSettings(const forwarding::ModelShape &model, std::size_t ranks)
{
    PlannerSettings settings;
    settings.weightStore.bytesPerExpert = model.expertBytes;
    // Ranks load in parallel, each over its own link.
    settings.weightStore.bytesPerSecond
        = static_cast<std::uint64_t>(model.linkBitsPerSecond / bitsPerByte * static_cast<double>(ranks));
    // Forward passes take 15 % longer while a rank copies, so under a large skew a move pays off within seconds.
    settings.movementWeight = 0.1;
    settings.hysteresis = 0.12;
    settings.bytesPerMinute = settings.weightStore.bytesPerSecond * 60;
    settings.budgetCapacityMinutes = 1;
    settings.maxLoadsPerRank = 2;
    settings.horizon = std::chrono::seconds(10);
    // DemandAverage has already averaged the counts.
    settings.forecast.levelTimeConstant = core::Duration::zero();
    settings.riskWeight = 0.5;
    settings.freedSlotCost = 0.0;
    settings.countsStaleAfter = std::chrono::seconds(5);
    return settings;
}

void copyLayer(const ExpertMap &from, ExpertMap &to, core::LayerIndex layer)
{
    for (std::size_t number = 0; number < from.shape().experts; ++number) {
        const core::ExpertIndex expert(number);
        const auto replaced = to.ranksOf(layer, expert);
        for (const auto rank : replaced) {
            to.removeReplica(layer, expert, rank);
        }
        for (const auto rank : from.ranksOf(layer, expert)) {
            to.addReplica(layer, expert, rank);
        }
    }
}

} // namespace

ExpertMap revertOverloadedLayers(const ExpertMap &current, const ExpertMap &next, std::size_t spareSlots)
{
    ExpertMap result = next;
    std::map<std::pair<core::LayerIndex, core::RankIndex>, std::size_t> loads;
    for (const auto &placement : placementsToLoad(current, next)) {
        if (++loads[{placement.layer, placement.rank}] == spareSlots + 1) {
            copyLayer(current, result, placement.layer);
        }
    }
    return result;
}

GroupPlanner::GroupPlanner(const forwarding::ModelShape &shape, std::size_t ranks)
    : m_model(shape), m_shape(mapShapeOf(shape, ranks)), m_planner(m_shape, plannerSettings(shape, ranks)),
      m_latestCounts(ranks), m_countsAtWindowStart(ranks), m_isReported(ranks, false),
      m_demand(shape.layers, DemandAverage(shape.experts))
{ }

void GroupPlanner::countsRead(core::RankIndex rank, const ChoiceCounts &counts, core::TimePoint now)
{
    const auto index = rank.number();
    if (index >= m_latestCounts.size() || counts.size() != m_shape.layers * m_shape.experts) {
        return;
    }
    const auto &previous = m_latestCounts[index];
    const bool hasRestarted = !previous.empty()
        && !std::equal(previous.begin(), previous.end(), counts.begin(),
                       [](auto old, auto recent) { return old <= recent; });
    const bool isFirst = previous.empty() || hasRestarted;
    if (isFirst) {
        m_countsAtWindowStart[index] = counts;
    }
    m_latestCounts[index] = counts;
    // The first totals of a rank tell nothing about its choices in this window.
    m_isReported[index] = m_isReported[index] || !isFirst;
    if (!m_windowStartTime) {
        m_windowStartTime = now;
        return;
    }
    const auto duration = now - *m_windowStartTime;
    const bool isComplete = std::all_of(m_isReported.begin(), m_isReported.end(), [](bool is) { return is; });
    if (duration >= maxCountWindow || (duration >= countWindow && isComplete)) {
        observeWindow(now);
    }
}

void GroupPlanner::observeWindow(core::TimePoint now)
{
    ExpertCounts counts(m_shape.layers, m_shape.experts, now);
    std::vector<std::uint64_t> window(m_shape.experts);
    for (std::size_t layer = 0; layer < m_shape.layers; ++layer) {
        for (std::size_t expert = 0; expert < m_shape.experts; ++expert) {
            const std::size_t cell = layer * m_shape.experts + expert;
            std::uint64_t sum = 0;
            for (std::size_t rank = 0; rank < m_latestCounts.size(); ++rank) {
                sum += m_latestCounts[rank].empty() ? 0
                                                    : m_latestCounts[rank][cell] - m_countsAtWindowStart[rank][cell];
            }
            window[expert] = sum;
        }
        m_demand[layer].add(window);
        const auto &sums = m_demand[layer].sums();
        for (std::size_t expert = 0; expert < m_shape.experts; ++expert) {
            counts.setTokens(core::LayerIndex(layer), core::ExpertIndex(expert),
                             static_cast<std::uint64_t>(std::llround(sums[expert])));
        }
    }
    m_planner.observe(counts);
    m_countsAtWindowStart = m_latestCounts;
    m_isReported.assign(m_isReported.size(), false);
    m_windowStartTime = now;
}

std::optional<Move> GroupPlanner::plan(const ExpertMap &current, core::TimePoint now)
{
    std::vector<core::RankIndex> ranks;
    for (std::size_t rank = 0; rank < m_shape.ranks; ++rank) {
        ranks.emplace_back(rank);
    }
    const auto plan = m_planner.plan(current, ranks, now);
    const auto *move = std::get_if<Move>(&plan);
    if (move == nullptr) {
        return std::nullopt;
    }
    Move result = *move;
    result.next = revertOverloadedLayers(current, move->next, m_model.spareSlots);
    result.loads = placementsToLoad(current, result.next);
    result.bytes = result.loads.size() * m_model.expertBytes;
    return result.loads.empty() || !result.next.isComplete() ? std::nullopt : std::optional(result);
}

bool GroupPlanner::isDemandSettled() const
{
    return std::all_of(m_demand.begin(), m_demand.end(), [](const DemandAverage &layer) { return layer.isSettled(); });
}

void GroupPlanner::switchStarted(const Move &move, core::TimePoint now)
{
    m_planner.moveStarted(move.bytes, now);
}

} // namespace lycheelanding::rankgroups

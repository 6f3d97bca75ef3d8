#include "lycheelanding/rankgroups/groupplanner.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace lycheelanding::rankgroups {

namespace {

using namespace decisions::experts;

/// Minimum duration of the windows over which counts are summed.
constexpr std::chrono::milliseconds countWindow{50};
/// Duration after which a window ends without ranks from which nothing is heard.
constexpr std::chrono::milliseconds incompleteCountWindow{250};
/// Duration after which a window ends without the counts of some rank.
constexpr std::chrono::milliseconds maxCountWindow{1500};
constexpr double bitsPerByte = 8.0;
/// A switch waits for the rank that copies the most experts.
constexpr std::chrono::milliseconds maxCopyTime{200};
constexpr int minLoadsPerRank = 2;

MapShape mapShapeOf(const forwarding::ModelShape &model, std::size_t ranks)
{
    return {ranks, model.experts, model.layers, model.slotsPerRank};
}

/// A rank copies one expert after another, and the group steps on the old map meanwhile.
int maxLoadsPerRank(const forwarding::ModelShape &model)
{
    const double secondsPerLoad = model.linkBitsPerSecond > 0.0
        ? static_cast<double>(model.expertBytes) * bitsPerByte / model.linkBitsPerSecond
        : 0.0;
    const auto seconds = std::chrono::duration<double>(maxCopyTime).count();
    constexpr double maxLoads = 64.0;
    const double loads = secondsPerLoad > 0.0 ? std::min(maxLoads, seconds / secondsPerLoad) : maxLoads;
    return std::max(minLoadsPerRank, static_cast<int>(loads));
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
    settings.maxLoadsPerRank = maxLoadsPerRank(model);
    settings.maxLoadsPerRankAndLayer = static_cast<int>(model.spareSlots);
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
      m_window({ranks, countWindow, incompleteCountWindow, maxCountWindow}),
      m_demand(shape.layers, DemandAverage(shape.experts))
{ }

void GroupPlanner::countsReported(const std::string &source, const CountsReport &report, core::TimePoint now)
{
    if (report.counts.size() != m_shape.layers * m_shape.experts) {
        return;
    }
    m_window.add(source, report, now);
    if (const auto window = m_window.takeIfEnded(now)) {
        observe(window->choices, now);
    }
}

void GroupPlanner::observe(const std::vector<std::uint64_t> &window, core::TimePoint now)
{
    ExpertCounts counts(m_shape.layers, m_shape.experts, now);
    std::vector<std::uint64_t> choices(m_shape.experts);
    for (std::size_t layer = 0; layer < m_shape.layers; ++layer) {
        const auto first = window.begin() + static_cast<std::ptrdiff_t>(layer * m_shape.experts);
        std::copy_n(first, m_shape.experts, choices.begin());
        m_demand[layer].add(choices);
        const auto &sums = m_demand[layer].sums();
        for (std::size_t expert = 0; expert < m_shape.experts; ++expert) {
            counts.setTokens(core::LayerIndex(layer), core::ExpertIndex(expert),
                             static_cast<std::uint64_t>(std::llround(sums[expert])));
        }
    }
    m_planner.observe(counts);
}

bool GroupPlanner::isDemandProvisional() const
{
    const auto layers = std::count_if(m_demand.begin(), m_demand.end(),
                                      [](const DemandAverage &layer) { return layer.isProvisional(); });
    return 2 * static_cast<std::size_t>(layers) >= m_demand.size();
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

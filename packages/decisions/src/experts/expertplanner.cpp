#include "lycheelanding/decisions/experts/expertplanner.h"

#include "experts/private/layerbalancer.h"
#include "experts/private/movesearch.h"
#include "lycheelanding/core/nametable.h"

#include <algorithm>
#include <array>
#include <utility>

namespace lycheelanding::decisions::experts {

namespace {

using Minutes = std::chrono::duration<double, std::ratio<60>>;

constexpr std::array<core::NameEntry<StayReason>, 7> reasonNames{{
    {StayReason::MoveUnderWay, "moveUnderWay"},
    {StayReason::NoCounts, "noCounts"},
    {StayReason::StaleCounts, "staleCounts"},
    {StayReason::AlreadyBalanced, "alreadyBalanced"},
    {StayReason::GainTooSmall, "gainTooSmall"},
    {StayReason::BudgetExhausted, "budgetExhausted"},
    {StayReason::TooFewSlots, "tooFewSlots"},
}};

/// Fill level of the budget below which the price of movement stops rising.
constexpr double minFillLevel = 0.02;

std::uint64_t budgetCapacity(const PlannerSettings &settings)
{
    return static_cast<std::uint64_t>(static_cast<double>(settings.bytesPerMinute) * settings.budgetCapacityMinutes);
}

/// The gain in a layer's skew that justifies loading one replica. A layer contributes 1 / `layers` of the skew, and a
/// replica is 1 / (`layers * ranks * slots`) of the map, so the number of layers cancels out.
double minGainPerLoad(const PlannerSettings &settings, const MapShape &shape)
{
    const auto slots = static_cast<double>(shape.ranks * shape.slotsPerRank);
    const double gainPerSkew = settings.skewWeight * Minutes(settings.horizon).count();
    return settings.movementWeight / (gainPerSkew * slots);
}

int affordableLoads(std::uint64_t bytes, const PlannerSettings &settings)
{
    const auto perExpert = std::max<std::uint64_t>(1, settings.weightStore.bytesPerExpert);
    constexpr std::uint64_t maxLoads = 1U << 30U;
    return static_cast<int>(std::min(maxLoads, bytes / perExpert));
}

std::uint64_t maxLoadBytes(const PlannerSettings &settings)
{
    const double seconds = std::chrono::duration<double>(settings.maxLoadTime).count();
    return static_cast<std::uint64_t>(seconds * static_cast<double>(settings.weightStore.bytesPerSecond));
}

void writeLayer(ExpertMap &map, std::size_t layerNumber, const LayerBalancer &balancer)
{
    const core::LayerIndex layer(layerNumber);
    for (std::size_t number = 0; number < map.shape().experts; ++number) {
        const core::ExpertIndex expert(number);
        const auto old = map.ranksOf(layer, expert);
        for (const auto rank : old) {
            map.removeReplica(layer, expert, rank);
        }
        for (const auto rank : balancer.ranksOf(number)) {
            map.addReplica(layer, expert, core::RankIndex(rank));
        }
    }
}

/// Builds the plan for one call of ExpertPlanner::plan().
class PlanBuilder
{
public:
    PlanBuilder(const ExpertMap &current, const std::vector<core::RankIndex> &available)
        : m_current(current), m_isAvailable(current.shape().ranks)
    {
        for (const auto rank : available) {
            m_isAvailable[rank.number()] = true;
        }
    }

    void addLayer(const std::vector<ExpertLoad> &expected, const PlannerSettings &settings)
    {
        m_layers.emplace_back(m_current, m_layers.size(), m_isAvailable, expected, settings.freedSlotCost,
                              settings.maxLoadsPerRankAndLayer);
        auto &layer = m_layers.back();
        m_slowestBefore += layer.slowestLoad();
        layer.repair();
    }

    void selectChanges(const std::vector<std::size_t> &layers, const SearchLimits &limits)
    {
        std::vector<ChangeGroup> groups;
        for (const auto layer : layers) {
            auto found = searchLayer(m_layers[layer], layer, limits);
            std::move(found.begin(), found.end(), std::back_inserter(groups));
        }
        m_hasCandidates = !groups.empty();
        m_selected = selectGroups(std::move(groups), limits);
        for (const auto &group : m_selected) {
            m_gain += group.gain / static_cast<double>(m_layers.size());
        }
    }

    void applySelected()
    {
        for (const auto &group : m_selected) {
            for (const auto &change : group.changes) {
                m_layers[group.layer].apply(change);
            }
        }
    }

    bool hasFewerSlotsThanExperts() const
    {
        const auto ranks = static_cast<std::size_t>(std::count(m_isAvailable.begin(), m_isAvailable.end(), true));
        return ranks * m_current.shape().slotsPerRank < m_current.shape().experts;
    }

    /// True when an expert has no replica, or has one on a rank that is not available.
    bool needsRepair() const
    {
        const auto &shape = m_current.shape();
        for (std::size_t layer = 0; layer < shape.layers; ++layer) {
            for (std::size_t expert = 0; expert < shape.experts; ++expert) {
                const auto &ranks = m_current.ranksOf(core::LayerIndex(layer), core::ExpertIndex(expert));
                const bool areAvailable = std::all_of(ranks.begin(), ranks.end(),
                                                      [this](auto rank) { return m_isAvailable[rank.number()]; });
                if (ranks.empty() || !areAvailable) {
                    return true;
                }
            }
        }
        return false;
    }

    bool hasCandidates() const { return m_hasCandidates; }
    bool hasSelection() const { return !m_selected.empty(); }
    double gain() const { return m_gain; }

    Move buildMove(const PlannerSettings &settings) const
    {
        Move move;
        move.next = m_current;
        move.next.setVersion(m_current.version().next());
        double slowestAfter = 0;
        for (std::size_t layer = 0; layer < m_layers.size(); ++layer) {
            writeLayer(move.next, layer, m_layers[layer]);
            slowestAfter += m_layers[layer].slowestLoad();
        }
        const auto layers = static_cast<double>(std::max<std::size_t>(1, m_layers.size()));
        move.loads = placementsToLoad(m_current, move.next);
        move.bytes = move.loads.size() * settings.weightStore.bytesPerExpert;
        move.skewBefore = m_slowestBefore / layers;
        move.skewAfter = slowestAfter / layers;
        return move;
    }

private:
    const ExpertMap &m_current;
    std::vector<bool> m_isAvailable;
    std::vector<LayerBalancer> m_layers;
    std::vector<ChangeGroup> m_selected;
    double m_slowestBefore = 0;
    double m_gain = 0;
    bool m_hasCandidates = false;
};

} // namespace

std::string_view nameOf(StayReason reason)
{
    return core::nameIn(reasonNames, reason);
}

ExpertPlanner::ExpertPlanner(const MapShape &shape, const PlannerSettings &settings)
    : m_shape(shape), m_settings(settings), m_forecast(shape.layers, shape.experts, settings.forecast),
      m_budget(settings.bytesPerMinute, budgetCapacity(settings))
{ }

void ExpertPlanner::configure(const PlannerSettings &settings, core::TimePoint now)
{
    m_settings = settings;
    m_forecast.configure(settings.forecast);
    m_budget.configure(settings.bytesPerMinute, budgetCapacity(settings), now);
}

void ExpertPlanner::observe(const ExpertCounts &counts)
{
    m_forecast.observe(counts);
}

void ExpertPlanner::moveStarted(std::uint64_t bytes, core::TimePoint now)
{
    m_isMoveInProgress = true;
    m_budget.charge(bytes, now);
}

void ExpertPlanner::moveEnded()
{
    m_isMoveInProgress = false;
}

Plan ExpertPlanner::plan(const ExpertMap &current, const std::vector<core::RankIndex> &available,
                         core::TimePoint now) const
{
    if (m_isMoveInProgress) {
        return Stay{StayReason::MoveUnderWay};
    }
    PlanBuilder builder(current, available);
    if (builder.hasFewerSlotsThanExperts()) {
        return Stay{StayReason::TooFewSlots};
    }
    const bool needsRepair = builder.needsRepair();
    const auto freshLayers = freshLayersAt(now);
    if (freshLayers.empty() && !needsRepair) {
        return Stay{m_forecast.newestPeriodEnd() ? StayReason::StaleCounts : StayReason::NoCounts};
    }
    for (std::size_t layer = 0; layer < m_shape.layers; ++layer) {
        builder.addLayer(expectedLoads(layer), m_settings);
    }
    const auto limits = limitsAt(now);
    builder.selectChanges(freshLayers, limits);
    const bool isWorthwhile = builder.hasSelection() && builder.gain() >= m_settings.hysteresis;
    if (isWorthwhile) {
        builder.applySelected();
    }
    if (isWorthwhile || needsRepair) {
        return builder.buildMove(m_settings);
    }
    if (!builder.hasCandidates()) {
        return Stay{StayReason::AlreadyBalanced};
    }
    const bool isOutOfBudget = !builder.hasSelection() && limits.loads < 2;
    return Stay{isOutOfBudget ? StayReason::BudgetExhausted : StayReason::GainTooSmall};
}

SearchLimits ExpertPlanner::limitsAt(core::TimePoint now) const
{
    // The price of movement rises as the budget empties, so that small gains leave bytes for a sudden load change.
    const double fill = std::max(minFillLevel, m_budget.fillLevel(now));
    const auto bytes = std::min(m_budget.available(now), maxLoadBytes(m_settings));
    return {minGainPerLoad(m_settings, m_shape) / fill, affordableLoads(bytes, m_settings), m_settings.maxLoadsPerRank};
}

std::vector<std::size_t> ExpertPlanner::freshLayersAt(core::TimePoint now) const
{
    std::vector<std::size_t> layers;
    for (std::size_t layer = 0; layer < m_shape.layers; ++layer) {
        if (m_forecast.isFresh(layer, now - m_settings.countsStaleAfter)) {
            layers.push_back(layer);
        }
    }
    return layers;
}

std::vector<ExpertLoad> ExpertPlanner::expectedLoads(std::size_t layer) const
{
    if (!m_forecast.isKnown(layer)) {
        return std::vector<ExpertLoad>(m_shape.experts, {1 / static_cast<double>(m_shape.experts), 0});
    }
    auto loads = m_forecast.loadsOf(layer);
    for (auto &load : loads) {
        load.deviation *= m_settings.riskWeight;
    }
    return loads;
}

} // namespace lycheelanding::decisions::experts

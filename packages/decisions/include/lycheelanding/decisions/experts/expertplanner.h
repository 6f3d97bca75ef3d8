#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/experts/bytebudget.h"
#include "lycheelanding/decisions/experts/expertcounts.h"
#include "lycheelanding/decisions/experts/expertmap.h"
#include "lycheelanding/decisions/experts/loadforecast.h"
#include "lycheelanding/decisions/experts/plannersettings.h"

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheelanding::decisions::experts {

enum class StayReason : std::uint8_t {
    MoveUnderWay,
    NoCounts,
    StaleCounts,
    AlreadyBalanced,
    GainTooSmall,
    BudgetExhausted,
    /// The available ranks have fewer slots than the model has experts.
    TooFewSlots,
};

std::string_view nameOf(StayReason reason);

/// Keep the current map.
struct Stay
{
    StayReason reason = StayReason::AlreadyBalanced;
};

/// Load `loads`, then switch to `next`, whose version follows the current one.
struct Move
{
    ExpertMap next;
    std::vector<Placement> loads;
    std::uint64_t bytes = 0;
    /// Predicted skew without and with the move; both 1 when no counts are known.
    double skewBefore = 1;
    double skewAfter = 1;
};

using Plan = std::variant<Stay, Move>;

struct SearchLimits;

/// Decides when and how to move experts between the ranks of one group.
///
/// Moves are small and incremental: changes with the highest predicted gain per byte come first, within the byte
/// budget. A map that lacks an expert on the available ranks is repaired regardless of the budget.
class ExpertPlanner
{
public:
    ExpertPlanner(const MapShape &shape, const PlannerSettings &settings);

    /// Replaces the settings; keeps the forecast.
    void configure(const PlannerSettings &settings, core::TimePoint now);
    /// Adds the counts of a period to the forecast. Ignores counts older than the newest ones, or of another shape.
    void observe(const ExpertCounts &counts);
    /// The caller has started a move that loads `bytes`.
    void moveStarted(std::uint64_t bytes, core::TimePoint now);
    /// The move was completed or abandoned.
    void moveEnded();

    bool isMoveInProgress() const { return m_isMoveInProgress; }
    /// The plan for `now`. `current` has the planner's shape; `available` are the ranks that take part in the group.
    Plan plan(const ExpertMap &current, const std::vector<core::RankIndex> &available, core::TimePoint now) const;

private:
    SearchLimits limitsAt(core::TimePoint now) const;
    std::vector<std::size_t> freshLayersAt(core::TimePoint now) const;
    std::vector<ExpertLoad> expectedLoads(std::size_t layer) const;

    MapShape m_shape;
    PlannerSettings m_settings;
    LoadForecast m_forecast;
    ByteBudget m_budget;
    bool m_isMoveInProgress = false;
};

} // namespace lycheelanding::decisions::experts

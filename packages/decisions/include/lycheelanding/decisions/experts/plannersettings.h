#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/experts/expertmap.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace lycheelanding::decisions::experts {

/// What the planner may assume about the weight store.
struct WeightStoreLimits
{
    std::uint64_t bytesPerExpert = 0;
    /// Rate at which the group may load weights.
    std::uint64_t bytesPerSecond = 0;
};

/// How the counts of past periods are turned into a forecast.
struct ForecastSettings
{
    /// Time constant with which the level follows the counts; 0 takes the newest counts as they are.
    core::Duration levelTimeConstant = std::chrono::minutes(1);
    /// A count this many usual deviations from its forecast is a jump: the forecast starts again from it.
    double jumpDeviations = 4;
};

/// Settings of ExpertPlanner. Skew is the time of the slowest rank over the mean rank; 1 is a perfect split.
struct PlannerSettings
{
    WeightStoreLimits weightStore;
    /// Weight of one minute of one unit of skew.
    double skewWeight = 1;
    /// Weight of loading as many bytes as the whole map holds, in the same unit. It counts in full while the
    /// budget is full, and more the less is left.
    double movementWeight = 1;
    /// Smallest gain in predicted skew for which a move is begun.
    double hysteresis = 0.01;
    /// Bytes that moves may load per minute in the long run.
    std::uint64_t bytesPerMinute = 0;
    /// Minutes of unused budget that may be saved up for one move.
    double budgetCapacityMinutes = 20;
    /// Longest time that the loads of one move may take at the weight store's rate.
    core::Duration maxLoadTime = std::chrono::seconds(30);
    /// Replicas that one rank may load in one move; 0 sets no limit. Ranks load at the same time, so the rank with the
    /// most loads decides how long a move takes.
    int maxLoadsPerRank = 0;
    /// How long a placement is expected to be of use.
    core::Duration horizon = std::chrono::minutes(10);
    ForecastSettings forecast;
    /// How many usual deviations of its load a rank is planned to bear; 0 plans for the expected load only.
    double riskWeight = 2;
    /// Cost of a slot that a change leaves free, in loads: sooner or later a replica is loaded into it again.
    double freedSlotCost = 1;
    /// Age from which counts are stale.
    core::Duration countsStaleAfter = std::chrono::minutes(5);
};

/// The named sets of weights that the configuration refers to.
enum class PlannerPreset : std::uint8_t {
    /// Keeps skew low; movement costs little.
    LowSkew,
    /// Keeps movement low; some skew is accepted.
    LowMovement,
};

std::string_view nameOf(PlannerPreset preset);
std::optional<PlannerPreset> plannerPresetNamed(std::string_view name);

/// The settings of a preset for maps of a shape, under the limits of a weight store.
PlannerSettings settingsOf(PlannerPreset preset, const MapShape &shape, const WeightStoreLimits &weightStore);

} // namespace lycheelanding::decisions::experts

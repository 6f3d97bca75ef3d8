#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/experts/expertmap.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace lycheelanding::decisions::experts {

/// Limits of the weight store that the planner relies on.
struct WeightStoreLimits
{
    std::uint64_t bytesPerExpert = 0;
    /// Rate at which the group can load weights.
    std::uint64_t bytesPerSecond = 0;
};

/// Settings of LoadForecast.
struct ForecastSettings
{
    /// Time constant of the exponential smoothing; 0 uses the newest counts without smoothing.
    core::Duration levelTimeConstant = std::chrono::minutes(1);
    /// A count this many deviations from its forecast is a jump: the forecast restarts from it.
    double jumpDeviations = 4;
};

/// Settings of ExpertPlanner. Skew is the load of the slowest rank divided by the mean load of the ranks; 1 is a
/// perfect split.
struct PlannerSettings
{
    WeightStoreLimits weightStore;
    /// Cost of one unit of skew for one minute.
    double skewWeight = 1;
    /// Cost of loading as many bytes as the whole map holds, in the same unit. It applies while the budget is full and
    /// rises as the budget empties.
    double movementWeight = 1;
    /// Minimum gain in predicted skew for which a move is started.
    double hysteresis = 0.01;
    /// Refill rate of the byte budget: bytes that moves may load per minute on average.
    std::uint64_t bytesPerMinute = 0;
    /// Capacity of the byte budget, in minutes of its refill rate.
    double budgetCapacityMinutes = 20;
    /// Maximum time that the loads of one move may take at the weight store's rate.
    core::Duration maxLoadTime = std::chrono::seconds(30);
    /// Maximum number of replicas that one rank loads in one move; 0 means no limit. Ranks load in parallel, so the
    /// rank with the most loads determines the duration of a move.
    int maxLoadsPerRank = 0;
    /// The same for one layer: slots in which a rank can load while the active map stays in use; 0 means no limit.
    int maxLoadsPerRankAndLayer = 0;
    /// Time for which a placement is expected to stay useful.
    core::Duration horizon = std::chrono::minutes(10);
    ForecastSettings forecast;
    /// Number of deviations added to the expected load of a rank; 0 plans for the expected load only.
    double riskWeight = 2;
    /// Cost of a slot that a change leaves free, in replica loads: a replica will eventually be loaded into it.
    double freedSlotCost = 1;
    /// Age above which counts are stale.
    core::Duration countsStaleAfter = std::chrono::minutes(5);
};

/// Presets of cost settings that the configuration refers to by name.
enum class PlannerPreset : std::uint8_t {
    /// "bvp" in the configuration: keeps skew low at the cost of more movement.
    LowSkew,
    /// "jackhead" in the configuration: keeps movement low and accepts some skew.
    LowMovement,
};

std::string_view nameOf(PlannerPreset preset);
std::optional<PlannerPreset> plannerPresetNamed(std::string_view name);

/// The settings of a preset for a map shape and a weight store.
PlannerSettings settingsOf(PlannerPreset preset, const MapShape &shape, const WeightStoreLimits &weightStore);

} // namespace lycheelanding::decisions::experts

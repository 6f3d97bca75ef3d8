#include "lycheelanding/decisions/experts/plannersettings.h"

#include "lycheelanding/core/nametable.h"

#include <algorithm>
#include <array>

namespace lycheelanding::decisions::experts {

namespace {

constexpr std::array<core::NameEntry<PlannerPreset>, 2> presetNames{{
    {PlannerPreset::LowSkew, "bvp"},
    {PlannerPreset::LowMovement, "jackhead"},
}};

/// Values of one preset, independent of the sizes of the model and the weight store.
struct PresetWeights
{
    PlannerPreset preset;
    double movementWeight;
    double hysteresis;
    /// Limit of the average bytes loaded per hour, as a multiple of the bytes of the whole map.
    double mapsPerHour;
    double budgetCapacityMinutes;
    core::Duration maxLoadTime;
    core::Duration horizon;
    core::Duration levelTimeConstant;
};

constexpr std::array<PresetWeights, 2> presetWeights{{
    {PlannerPreset::LowSkew, 0.4, 0.002, 1.2, 45, std::chrono::seconds(20), std::chrono::minutes(10),
     std::chrono::seconds(30)},
    {PlannerPreset::LowMovement, 4.0, 0.01, 0.5, 60, std::chrono::seconds(60), std::chrono::minutes(30),
     std::chrono::minutes(3)},
}};

/// Fraction of the weight store's rate that moves may use; the rest is left to other users.
constexpr double maxStoreFraction = 0.25;

double bytesOf(const MapShape &shape, std::uint64_t bytesPerExpert)
{
    return static_cast<double>(shape.layers * shape.ranks * shape.slotsPerRank) * static_cast<double>(bytesPerExpert);
}

} // namespace

std::string_view nameOf(PlannerPreset preset)
{
    return core::nameIn(presetNames, preset);
}

std::optional<PlannerPreset> plannerPresetNamed(std::string_view name)
{
    return core::valueIn(presetNames, name);
}

PlannerSettings settingsOf(PlannerPreset preset, const MapShape &shape, const WeightStoreLimits &weightStore)
{
    constexpr double secondsPerMinute = 60;
    constexpr double minutesPerHour = 60;
    const auto &weights = presetWeights[static_cast<std::size_t>(preset)];
    const double mapLimit = weights.mapsPerHour * bytesOf(shape, weightStore.bytesPerExpert) / minutesPerHour;
    const double storeLimit = maxStoreFraction * secondsPerMinute * static_cast<double>(weightStore.bytesPerSecond);
    PlannerSettings settings;
    settings.weightStore = weightStore;
    settings.movementWeight = weights.movementWeight;
    settings.hysteresis = weights.hysteresis;
    settings.bytesPerMinute = static_cast<std::uint64_t>(std::min(mapLimit, storeLimit));
    settings.budgetCapacityMinutes = weights.budgetCapacityMinutes;
    settings.maxLoadTime = weights.maxLoadTime;
    settings.horizon = weights.horizon;
    settings.forecast.levelTimeConstant = weights.levelTimeConstant;
    return settings;
}

} // namespace lycheelanding::decisions::experts

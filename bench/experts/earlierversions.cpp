#include "earlierversions.h"

namespace lycheelanding::bench::experts {

decisions::experts::PlannerSettings settingsV1(const SimulationParameters &parameters)
{
    auto settings = settingsV2(parameters);
    settings.forecast.levelTimeConstant = core::Duration::zero();
    settings.riskWeight = 0;
    settings.freedSlotCost = 0;
    return settings;
}

decisions::experts::PlannerSettings settingsV2(const SimulationParameters &parameters)
{
    // The budget refills at the rate of the weight store and so stays full, which keeps the cost of movement constant.
    constexpr std::uint64_t secondsPerMinute = 60;
    auto settings = settingsOf(decisions::experts::PlannerPreset::LowSkew, parameters.shape, parameters.weightStore);
    settings.movementWeight = 1;
    settings.hysteresis = 0.002;
    settings.bytesPerMinute = parameters.weightStore.bytesPerSecond * secondsPerMinute;
    settings.budgetCapacityMinutes = 10;
    settings.forecast.levelTimeConstant = std::chrono::minutes(1);
    return settings;
}

} // namespace lycheelanding::bench::experts

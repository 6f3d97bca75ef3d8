#pragma once

#include "lycheelanding/decisions/experts/plannersettings.h"
#include "simulationparameters.h"

/// Settings with which the planner plans as its earlier versions did, with the cost weights that the LowSkew
/// preset ("bvp" in the configuration) had then.
namespace lycheelanding::bench::experts {

/// Version 1: the newest counts are the forecast, plans consider the expected load only, and removing a replica costs
/// nothing.
decisions::experts::PlannerSettings settingsV1(const SimulationParameters &parameters);

/// Version 2: plans for deviations, and removing a replica has a cost. The cost of movement does not depend on how full
/// the byte budget is.
decisions::experts::PlannerSettings settingsV2(const SimulationParameters &parameters);

} // namespace lycheelanding::bench::experts

#pragma once

#include "lycheelanding/decisions/experts/plannersettings.h"
#include "simulationparameters.h"

/// Settings with which the planner plans as its earlier versions did, under BVP's weights of that time.
namespace lycheelanding::bench::experts {

/// The newest counts are the forecast, only the expected load counts, and a replica is given up for nothing.
decisions::experts::PlannerSettings settingsV1(const SimulationParameters &parameters);

/// Plans for deviations and keeps replicas; the price of movement does not depend on what the budget holds.
decisions::experts::PlannerSettings settingsV2(const SimulationParameters &parameters);

} // namespace lycheelanding::bench::experts

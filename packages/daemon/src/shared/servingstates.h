#pragma once

#include "lycheelanding/decisions/membership/sidedrain.h"
#include "lycheelanding/wire/messages.h"

namespace lycheelanding::daemon::shared {

/// The state that peers and operators see during a phase of a drain.
wire::ServingState servingStateOf(decisions::membership::DrainPhase phase);

} // namespace lycheelanding::daemon::shared

#include "shared/servingstates.h"

namespace lycheelanding::daemon::shared {

wire::ServingState servingStateOf(decisions::membership::DrainPhase phase)
{
    using decisions::membership::DrainPhase;
    switch (phase) {
    case DrainPhase::Serving:
        return wire::ServingState::Serving;
    case DrainPhase::Draining:
        return wire::ServingState::Draining;
    case DrainPhase::Stopped:
        break;
    }
    return wire::ServingState::Stopped;
}

} // namespace lycheelanding::daemon::shared

#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/forwarding/forwardingconfiguration.h"

namespace lycheelanding::forwarding {

/// How long a request waits for a backend server, and with what in view.
struct WaitLimits
{
    /// It is given up then.
    core::TimePoint waitsUntil;
    /// From then on its answer can no longer begin within the target latency.
    core::TimePoint lateFrom;
    /// From then on it accepts an engine whose steps are long.
    core::TimePoint crowdedFrom;
};

WaitLimits waitLimitsOf(const Route &route, core::TimePoint arrival, core::TimePoint deadline);

} // namespace lycheelanding::forwarding

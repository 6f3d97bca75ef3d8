#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/forwarding/forwardingconfiguration.h"

namespace lycheelanding::forwarding {

/// How long a request waits for a backend server, and with what in view.
struct WaitLimits
{
    core::TimePoint waitStart;
    /// It is given up then.
    core::TimePoint waitDeadline;
    /// From then on its answer can no longer begin within the target latency.
    core::TimePoint lateSince;
    /// From then on it accepts an engine whose steps are long.
    core::TimePoint acceptsSaturatedFrom;
    /// A stream that had events is gone on with elsewhere after this long without one, and any stream after the second
    /// time when the VM of its backend server is silent, too.
    core::Duration inactivityTimeout{};
    core::Duration unresponsiveVmTimeout{};
};

WaitLimits waitLimitsOf(const Route &route, core::TimePoint arrival, core::TimePoint deadline);

} // namespace lycheelanding::forwarding

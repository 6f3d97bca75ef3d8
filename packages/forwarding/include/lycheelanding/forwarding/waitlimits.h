#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/forwarding/forwardingconfiguration.h"

#include <optional>

namespace lycheelanding::forwarding {

/// Time limits of a request that waits for a backend server, or whose stream is inactive.
struct WaitLimits
{
    core::TimePoint waitStart;
    /// The request is given up then.
    core::TimePoint waitDeadline;
    /// From then on the answer can no longer begin within the target latency.
    core::TimePoint lateSince;
    /// From then on the request accepts a saturated engine, whose passes are long.
    core::TimePoint acceptsSaturatedFrom;
    /// A stream that has had events is resumed elsewhere after this time without one.
    core::Duration inactivityTimeout{};
    /// The same for any stream while the VM of its backend server is unresponsive.
    core::Duration unresponsiveVmTimeout{};
    /// What another backend server needs to resume the stream; with less time left it is not tried.
    core::Duration resumeTime{};
    /// From then on a backend server that is slow may not answer in time.
    core::TimePoint hasLittleTimeFrom{};
};

/// The error of a stream that has had no event for `inactivity`; empty while its backend server counts as slow.
std::optional<core::Error> inactivityError(const WaitLimits &limits, core::Duration inactivity, bool hasBegun,
                                           bool isVmUnresponsive);

/// `admitsInTimeOnly`: a request becomes late early enough that its first event still meets the target latency.
WaitLimits waitLimitsOf(const Route &route, core::TimePoint arrival, core::TimePoint deadline,
                        bool admitsInTimeOnly = false);

} // namespace lycheelanding::forwarding

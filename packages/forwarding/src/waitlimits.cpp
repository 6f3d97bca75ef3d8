#include "lycheelanding/forwarding/waitlimits.h"

#include "lycheelanding/forwarding/percent.h"

#include <algorithm>
#include <string>

namespace lycheelanding::forwarding {

namespace {

/// Percentage of its time that a request may wait for a backend server: the rest must suffice for its execution and for
/// one retry by the caller.
constexpr int maxWaitPercent = 50;
/// Client timeout: callers cancel a stream after this time without an event. It is the maximum of minClientTimeout,
/// clientTimeoutLatencies target latencies and clientTimeoutIntervals target event intervals.
constexpr std::chrono::milliseconds minClientTimeout{2000};
constexpr int clientTimeoutLatencies = 4;
constexpr int clientTimeoutIntervals = 8;
/// Percentage of the client timeout that a stream may wait for a backend server; the rest is for its first event.
constexpr int streamWaitPercent = 75;
/// Percentages of the client timeout after which an inactive stream counts as lost: the rest must suffice for the
/// prefill at another backend server. A group that switches expert maps may stall for 800 ms.
constexpr int inactivityPercent = 60;
constexpr int unresponsiveVmPercent = 30;
/// Percentage of the target latency after which a waiting request counts as late: the engine needs the rest for the
/// prefill.
constexpr int inTimePercent = 60;
/// The same where only requests in time are admitted. Half of the first events arrive some 200 ms after the send, with
/// targets of 400 to 500 ms.
constexpr int strictInTimePercent = 40;
/// How long a request waits for an unsaturated engine before it accepts any: a longer backlog needs the full capacity
/// of the engines.
constexpr std::chrono::milliseconds unsaturatedWait{1000};

/// Target latencies that a slow backend server may need for an answer.
constexpr int slowLatencies = 4;

core::Duration streamClientTimeout(const Route &route)
{
    return std::max({minClientTimeout, route.targetLatency * clientTimeoutLatencies,
                     route.targetEventInterval * clientTimeoutIntervals});
}

core::Duration maxWait(const Route &route, core::Duration time)
{
    const core::Duration limit = percentOf(time, maxWaitPercent);
    if (route.kind != RouteKind::Stream) {
        return limit;
    }
    return std::min<core::Duration>(limit, percentOf(streamClientTimeout(route), streamWaitPercent));
}

} // namespace

std::optional<core::Error> inactivityError(const WaitLimits &limits, core::Duration inactivity, bool hasBegun,
                                           bool isVmUnresponsive)
{
    // Before its first event the request may still be queued at the engine.
    const bool isInactive = isVmUnresponsive ? inactivity >= limits.unresponsiveVmTimeout
                                             : hasBegun && inactivity >= limits.inactivityTimeout;
    if (!isInactive) {
        return std::nullopt;
    }
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(inactivity).count();
    return core::Error{core::ErrorKind::BackendServerLost,
                       "no event for " + std::to_string(milliseconds) + " ms"
                           + (isVmUnresponsive ? ", and no news of its VM" : "")};
}

WaitLimits waitLimitsOf(const Route &route, core::TimePoint arrival, core::TimePoint deadline, bool admitsInTimeOnly)
{
    const auto clientTimeout = streamClientTimeout(route);
    return {arrival,
            arrival + maxWait(route, deadline - arrival),
            arrival + percentOf(route.targetLatency, admitsInTimeOnly ? strictInTimePercent : inTimePercent),
            arrival + unsaturatedWait,
            percentOf(clientTimeout, inactivityPercent),
            percentOf(clientTimeout, unresponsiveVmPercent),
            percentOf(clientTimeout, 100 - inactivityPercent),
            deadline - route.targetLatency * slowLatencies};
}

} // namespace lycheelanding::forwarding

#include "lycheelanding/forwarding/waitlimits.h"

#include "lycheelanding/forwarding/percent.h"

#include <algorithm>

namespace lycheelanding::forwarding {

namespace {

/// Part of its time, in percent, that a request may wait for a backend server: what is left has to do for its work, and
/// for coming back once.
constexpr int maxWaitPercent = 50;
/// Callers leave a stream without an event for the longest of this, some target latencies and some target gaps.
constexpr std::chrono::milliseconds minClientTimeout{2000};
constexpr int clientTimeoutLatencies = 4;
constexpr int clientTimeoutGaps = 8;
/// Part of that patience, in percent, that a stream may wait for a backend server; the rest is for its first event.
constexpr int streamWaitPercent = 75;
/// Parts of the patience, in percent, after which a silent stream is taken to be lost: what is left has to do for
/// another backend server to read the prompt. A group that switches maps may stand still for 800 ms.
constexpr int inactivityPercent = 60;
constexpr int unresponsiveVmPercent = 30;
/// Part of the target latency, in percent, after which a waiting request is taken to be late: the engine needs the rest
/// to read the prompt.
constexpr int inTimePercent = 60;
/// How long a request waits for an engine with short steps before it accepts any; a backlog that lasts longer asks for
/// all that the engines can do.
constexpr std::chrono::milliseconds unsaturatedWait{1000};

core::Duration streamClientTimeout(const Route &route)
{
    return std::max(
        {minClientTimeout, route.targetLatency * clientTimeoutLatencies, route.targetGap * clientTimeoutGaps});
}

core::Duration maxWait(const Route &route, core::Duration time)
{
    const core::Duration part = percentOf(time, maxWaitPercent);
    if (route.kind != RouteKind::Stream) {
        return part;
    }
    return std::min<core::Duration>(part, percentOf(streamClientTimeout(route), streamWaitPercent));
}

} // namespace

WaitLimits waitLimitsOf(const Route &route, core::TimePoint arrival, core::TimePoint deadline)
{
    const auto clientTimeout = streamClientTimeout(route);
    return {arrival,
            arrival + maxWait(route, deadline - arrival),
            arrival + percentOf(route.targetLatency, inTimePercent),
            arrival + unsaturatedWait,
            percentOf(clientTimeout, inactivityPercent),
            percentOf(clientTimeout, unresponsiveVmPercent)};
}

} // namespace lycheelanding::forwarding

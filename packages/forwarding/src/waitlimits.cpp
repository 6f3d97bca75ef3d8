#include "lycheelanding/forwarding/waitlimits.h"

#include "lycheelanding/forwarding/percent.h"

#include <algorithm>

namespace lycheelanding::forwarding {

namespace {

/// Part of its time, in percent, that a request may wait for a backend server: what is left has to do for its work, and
/// for coming back once.
constexpr int longestWaitPercent = 50;
/// Callers leave a stream without an event for the longest of this, some target latencies and some target gaps.
constexpr std::chrono::milliseconds shortestPatience{2000};
constexpr int patienceTargets = 4;
constexpr int patienceGaps = 8;
/// Part of that patience, in percent, that a stream may wait for a backend server; the rest is for its first event.
constexpr int streamWaitPercent = 75;
/// Parts of the patience, in percent, after which a silent stream is taken to be lost: what is left has to do for
/// another backend server to read the prompt. A group that switches maps may stand still for 800 ms.
constexpr int silencePercent = 60;
constexpr int silentVmPercent = 30;
/// Part of the target latency, in percent, after which a waiting request is taken to be late: the engine needs the rest
/// to read the prompt.
constexpr int inTimePercent = 60;
/// How long a request waits for an engine with short steps before it accepts any; a backlog that lasts longer asks for
/// all that the engines can do.
constexpr std::chrono::milliseconds uncrowdedWait{1000};

core::Duration streamPatience(const Route &route)
{
    return std::max({shortestPatience, route.targetLatency * patienceTargets, route.targetGap * patienceGaps});
}

core::Duration longestWait(const Route &route, core::Duration time)
{
    const core::Duration part = percentOf(time, longestWaitPercent);
    if (route.kind != RouteKind::Stream) {
        return part;
    }
    return std::min<core::Duration>(part, percentOf(streamPatience(route), streamWaitPercent));
}

} // namespace

WaitLimits waitLimitsOf(const Route &route, core::TimePoint arrival, core::TimePoint deadline)
{
    const auto patience = streamPatience(route);
    return {arrival,
            arrival + longestWait(route, deadline - arrival),
            arrival + percentOf(route.targetLatency, inTimePercent),
            arrival + uncrowdedWait,
            percentOf(patience, silencePercent),
            percentOf(patience, silentVmPercent)};
}

} // namespace lycheelanding::forwarding

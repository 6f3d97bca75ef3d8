#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/decisions/admission/queueforecast.h"
#include "lycheelanding/forwarding/waitlimits.h"

#include <cstddef>
#include <string_view>

namespace lycheelanding::forwarding {

/// A request in the queue of an entry.
struct QueuedRequest
{
    decisions::admission::QueueLevel level;
    const WaitLimits &limits;
    core::TimePoint deadline;
    std::string_view attemptName;
    /// Requests in the queue that are sent before this one, and itself.
    std::size_t waiting = 0;
    /// Whether it is given up early while the queue of its service does not drain.
    bool isLimited = false;
};

/// Whether the request is late, and the queue of its service does not drain before its wait deadline. Requests that are
/// in time are sent first, so that it has no prospect of a place.
bool isOutOfReach(const QueuedRequest &request, const decisions::admission::QueueForecast &forecast,
                  core::TimePoint now);

/// The error of a request that is given up in the queue, with the rates that decided it and the time to return.
core::Error overloadError(const QueuedRequest &request, decisions::admission::QueueForecast &forecast,
                          core::TimePoint now);

} // namespace lycheelanding::forwarding

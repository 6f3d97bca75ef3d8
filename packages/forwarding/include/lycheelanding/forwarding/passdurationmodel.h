#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/forwarding/forwardingconfiguration.h"

#include <optional>

namespace lycheelanding::forwarding {

/// How long the passes of one rank group take now, from the pauses between events of its streams, and how many requests
/// a rank may run so that they stay short enough.
///
/// A pass makes some steps; each takes a fixed time and some more for each request that runs. What else lengthens
/// passes (prompts that are read, uneven experts, experts being copied) is taken as a factor on that.
class PassDurationModel
{
public:
    explicit PassDurationModel(const StepTimes &steps) : m_steps(steps) { }

    /// A stream of the group had an event `pause` after the one before. True when a window of pauses is over:
    /// endWindow() is due.
    bool recordInterval(core::Duration pause, core::TimePoint now);
    /// The group's ranks run `meanRunning` requests each.
    void endWindow(double meanRunning, core::TimePoint now);
    /// Requests that a rank may run so that a pass takes at most `maxPassDuration`; nothing without recent events.
    std::optional<double> maxRunning(core::Duration maxPassDuration, core::TimePoint now) const;

private:
    double baselineSeconds(double running) const;

    StepTimes m_steps;
    /// Shortest pause of the current window: all streams of a group share its passes, longer pauses have other causes.
    std::optional<core::Duration> m_minInterval;
    core::TimePoint m_windowEnd;
    /// Time of a pass over that of one in which nothing but the running requests takes time.
    double m_slowdown = 0.0;
    core::TimePoint m_updatedAt;
};

} // namespace lycheelanding::forwarding

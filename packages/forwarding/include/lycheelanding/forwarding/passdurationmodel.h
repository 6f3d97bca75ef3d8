#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/forwarding/forwardingconfiguration.h"

#include <optional>
#include <vector>

namespace lycheelanding::forwarding {

/// Estimates the current duration of the forward passes of one rank group from the intervals between events of its
/// streams, and how many requests a rank may run for a given maximum pass duration.
///
/// A pass consists of several steps; each takes a fixed time and additional time for each running request. Other causes
/// of longer passes (prefill, uneven expert load, experts being copied) are modelled as a factor on that.
class PassDurationModel
{
public:
    explicit PassDurationModel(const StepTimes &steps) : m_steps(steps) { }

    /// Records that a stream of the group had an event `interval` after the one before. Returns true at the end of a
    /// measurement window: the caller then calls endWindow().
    bool recordInterval(core::Duration interval, core::TimePoint now);
    /// Updates the estimate; `meanRunning` is the mean number of running requests per rank.
    void endWindow(double meanRunning, core::TimePoint now);
    /// Number of requests that a rank may run with passes of at most `maxPassDuration`; nullopt without recent events.
    std::optional<double> maxRunning(core::Duration maxPassDuration, core::TimePoint now) const;
    /// The same for passes as slow as the slowest of the last seconds: the number of requests whose passes stay within
    /// the maximum also when the demand for experts shifts again before they end.
    std::optional<double> maxRunningAtPeak(core::Duration maxPassDuration, core::TimePoint now) const;

private:
    double baselineSeconds(double running) const;
    double maxRunningFor(core::Duration maxPassDuration, double slowdown) const;
    void recordPeak(double slowdown, core::TimePoint now);

    StepTimes m_steps;
    /// Intervals of the current window. All streams of a group share its passes, so the median is a pass duration;
    /// events that arrive together and streams that wait for a prefill differ.
    std::vector<core::Duration> m_intervals;
    core::TimePoint m_windowEnd;
    /// Measured pass duration divided by that of a pass in which only the running requests take time; 0 if unknown.
    double m_slowdown = 0.0;
    core::TimePoint m_updatedAt;
    /// Largest slowdown of the current and of the previous peak period.
    double m_peak = 0.0;
    double m_previousPeak = 0.0;
    core::TimePoint m_peakPeriodEnd;
};

} // namespace lycheelanding::forwarding

#include "lycheelanding/forwarding/passdurationmodel.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace lycheelanding::forwarding {

namespace {

/// Length of a measurement window: about one pass.
constexpr std::chrono::milliseconds windowLength{60};
/// Weight of one window in the moving average: the demand for experts changes within a few passes.
constexpr double windowWeight = 0.4;
/// An estimate is valid for this time: a stalled group emits no events, and the last estimate no longer applies.
constexpr std::chrono::milliseconds validityPeriod{1000};

/// A peak is remembered for one to two of these periods. Shifts of the demand for experts follow each other within a
/// few seconds, and a stream takes about two.
constexpr std::chrono::milliseconds peakPeriod{4000};
/// A group whose passes are slower than this has stalled: the most uneven expert map of a new group makes them some 3.5
/// times as long.
constexpr double maxPeakSlowdown = 4.5;

double inSeconds(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

double PassDurationModel::baselineSeconds(double running) const
{
    return m_steps.stepsPerPass * (inSeconds(m_steps.step) + inSeconds(m_steps.perRequest) * running);
}

bool PassDurationModel::recordInterval(core::Duration interval, core::TimePoint now)
{
    m_intervals.push_back(interval);
    return now >= m_windowEnd;
}

void PassDurationModel::endWindow(double meanRunning, core::TimePoint now)
{
    if (m_intervals.empty()) {
        return;
    }
    const auto median = m_intervals.begin() + static_cast<std::ptrdiff_t>((m_intervals.size() - 1) / 2);
    std::nth_element(m_intervals.begin(), median, m_intervals.end());
    const auto passDuration = *median;
    m_intervals.clear();
    m_windowEnd = now + windowLength;
    const double baseline = baselineSeconds(meanRunning);
    const double slowdown = inSeconds(passDuration) / baseline;
    const bool isValid = m_slowdown > 0.0 && now - m_updatedAt < validityPeriod;
    m_slowdown = isValid ? m_slowdown + windowWeight * (slowdown - m_slowdown) : slowdown;
    m_updatedAt = now;
    recordPeak(slowdown, now);
}

void PassDurationModel::recordPeak(double slowdown, core::TimePoint now)
{
    if (now >= m_peakPeriodEnd) {
        const bool isRecent = now - m_peakPeriodEnd < peakPeriod;
        m_previousPeak = isRecent ? m_peak : 0.0;
        m_peak = 0.0;
        m_peakPeriodEnd = now + peakPeriod;
    }
    if (slowdown <= maxPeakSlowdown) {
        m_peak = std::max(m_peak, slowdown);
    }
}

double PassDurationModel::maxRunningFor(core::Duration maxPassDuration, double slowdown) const
{
    const double stepSeconds = inSeconds(maxPassDuration) / (m_steps.stepsPerPass * slowdown);
    return (stepSeconds - inSeconds(m_steps.step)) / inSeconds(m_steps.perRequest);
}

std::optional<double> PassDurationModel::maxRunning(core::Duration maxPassDuration, core::TimePoint now) const
{
    if (m_slowdown <= 0.0 || now - m_updatedAt >= validityPeriod) {
        return std::nullopt;
    }
    return maxRunningFor(maxPassDuration, m_slowdown);
}

std::optional<double> PassDurationModel::maxRunningAtPeak(core::Duration maxPassDuration, core::TimePoint now) const
{
    if (m_slowdown <= 0.0 || now - m_updatedAt >= validityPeriod) {
        return std::nullopt;
    }
    return maxRunningFor(maxPassDuration, std::max({m_slowdown, m_peak, m_previousPeak}));
}

} // namespace lycheelanding::forwarding

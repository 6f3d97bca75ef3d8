#include "lycheelanding/forwarding/passdurationmodel.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace lycheelanding::forwarding {

namespace {

/// Pauses are taken together over about one pass.
constexpr std::chrono::milliseconds window{60};
/// Weight of one window: the demand for experts shifts within some passes.
constexpr double windowWeight = 0.4;
/// A stalled group makes no events; what was known of its passes then says nothing.
constexpr std::chrono::milliseconds validityPeriod{1000};

double inSeconds(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

double PassDurationModel::baselineSeconds(double running) const
{
    return m_steps.stepsPerPass * (inSeconds(m_steps.step) + inSeconds(m_steps.perRequest) * running);
}

bool PassDurationModel::recordInterval(core::Duration pause, core::TimePoint now)
{
    m_minInterval = std::min(pause, m_minInterval.value_or(pause));
    return now >= m_windowEnd;
}

void PassDurationModel::endWindow(double meanRunning, core::TimePoint now)
{
    if (!m_minInterval) {
        return;
    }
    m_windowEnd = now + window;
    const double usual = baselineSeconds(meanRunning);
    const double factor = inSeconds(*std::exchange(m_minInterval, std::nullopt)) / usual;
    const bool isKnown = m_slowdown > 0.0 && now - m_updatedAt < validityPeriod;
    m_slowdown = isKnown ? m_slowdown + windowWeight * (factor - m_slowdown) : factor;
    m_updatedAt = now;
}

std::optional<double> PassDurationModel::maxRunning(core::Duration maxPassDuration, core::TimePoint now) const
{
    if (m_slowdown <= 0.0 || now - m_updatedAt >= validityPeriod) {
        return std::nullopt;
    }
    const double stepSeconds = inSeconds(maxPassDuration) / (m_steps.stepsPerPass * m_slowdown);
    return (stepSeconds - inSeconds(m_steps.step)) / inSeconds(m_steps.perRequest);
}

} // namespace lycheelanding::forwarding

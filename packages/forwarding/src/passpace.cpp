#include "lycheelanding/forwarding/passpace.h"

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
constexpr std::chrono::milliseconds knownFor{1000};

double inSeconds(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

double PassPace::usualSeconds(double running) const
{
    return m_steps.stepsPerPass * (inSeconds(m_steps.step) + inSeconds(m_steps.perRequest) * running);
}

bool PassPace::eventSeen(core::Duration pause, core::TimePoint now)
{
    m_shortestPause = std::min(pause, m_shortestPause.value_or(pause));
    return now >= m_windowEnd;
}

void PassPace::endWindow(double meanRunning, core::TimePoint now)
{
    if (!m_shortestPause) {
        return;
    }
    m_windowEnd = now + window;
    const double usual = usualSeconds(meanRunning);
    const double factor = inSeconds(*std::exchange(m_shortestPause, std::nullopt)) / usual;
    const bool isKnown = m_factor > 0.0 && now - m_knownAt < knownFor;
    m_factor = isKnown ? m_factor + windowWeight * (factor - m_factor) : factor;
    m_knownAt = now;
}

std::optional<double> PassPace::mostRunning(core::Duration longestPass, core::TimePoint now) const
{
    if (m_factor <= 0.0 || now - m_knownAt >= knownFor) {
        return std::nullopt;
    }
    const double stepSeconds = inSeconds(longestPass) / (m_steps.stepsPerPass * m_factor);
    return (stepSeconds - inSeconds(m_steps.step)) / inSeconds(m_steps.perRequest);
}

} // namespace lycheelanding::forwarding

#include "lycheelanding/decisions/admission/concurrencylimiter.h"

#include <algorithm>

namespace lycheelanding::decisions::admission {

namespace {

// Weight of a new sample in the exponential moving average of the first-token latency.
constexpr double sampleWeight = 0.1;
// Samples required before the smoothed latency is used.
constexpr std::size_t minSamples = 10;
// Fraction of the limit that must be in use for the limit to grow.
constexpr double minUsedFraction = 0.8;

} // namespace

ConcurrencyLimiter::ConcurrencyLimiter(LimiterSettings settings) : m_settings(settings), m_limit(settings.initialLimit)
{ }

void ConcurrencyLimiter::configure(const LimiterSettings &settings)
{
    m_settings = settings;
    m_limit = std::clamp(m_limit, m_settings.minLimit, m_settings.maxLimit);
}

void ConcurrencyLimiter::firstToken(core::Duration latency, core::TimePoint now)
{
    const double seconds = std::chrono::duration<double>(latency).count();
    m_smoothedSeconds += (m_samples == 0 ? 1.0 : sampleWeight) * (seconds - m_smoothedSeconds);
    ++m_samples;
    if (m_samples < minSamples) {
        return;
    }
    updateBaseline(now);
    if (m_smoothedSeconds > m_settings.tolerance * m_baselines.front().seconds) {
        decreaseLimit(now);
        return;
    }
    if (static_cast<double>(m_inFlight) >= minUsedFraction * m_limit) {
        m_limit = std::min(m_limit + m_settings.increase / m_limit, m_settings.maxLimit);
    }
}

void ConcurrencyLimiter::requestEnded(bool overloaded, core::TimePoint now)
{
    m_inFlight -= std::min<std::size_t>(m_inFlight, 1);
    if (overloaded) {
        decreaseLimit(now);
    }
}

void ConcurrencyLimiter::decreaseLimit(core::TimePoint now)
{
    // A decrease must take effect on the latency before the next one.
    if (now - m_lastDecrease < m_settings.minDecreaseInterval) {
        return;
    }
    m_lastDecrease = now;
    m_limit = std::max(m_limit * m_settings.decreaseFactor, m_settings.minLimit);
}

void ConcurrencyLimiter::updateBaseline(core::TimePoint now)
{
    while (!m_baselines.empty() && m_baselines.back().seconds >= m_smoothedSeconds) {
        m_baselines.pop_back();
    }
    m_baselines.push_back({now + m_settings.baselineWindow, m_smoothedSeconds});
    while (m_baselines.front().expiresAt < now) {
        m_baselines.pop_front();
    }
}

} // namespace lycheelanding::decisions::admission

#include "lycheelanding/decisions/intake/rateshare.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace lycheelanding::decisions::intake {

namespace {

using Seconds = std::chrono::duration<double>;

/// Lower rates are raised to this one: only an answer shows that a backend server takes more again.
constexpr double minPerSecond = 0.1;
/// Higher ones are lowered to this one, which no entry reaches: the time between turns is more than zero.
constexpr double maxPerSecond = 1e6;

core::Duration scaled(core::Duration duration, double factor)
{
    return std::chrono::duration_cast<core::Duration>(duration * factor);
}

} // namespace

void RateShare::setRate(const SharedRate &rate, core::TimePoint now)
{
    if (std::exchange(m_isStarted, true) && rate == m_rate) {
        return;
    }
    m_rate = rate;
    const double perSecond = std::clamp(rate.perSecond, minPerSecond, maxPerSecond);
    const double maxSharers = std::max(std::floor(rate.reserve.maxSeconds * perSecond + rate.reserve.maxRequests), 1.0);
    const bool areTooMany = static_cast<double>(rate.position.entries) > maxSharers;
    const double fraction = areTooMany ? 1.0 / maxSharers : rate.fraction;
    const auto interval = std::chrono::duration_cast<core::Duration>(Seconds(1.0 / (perSecond * fraction)));
    const auto earlier = std::exchange(m_interval, interval);
    const bool hasTurns = !areTooMany || static_cast<double>(rate.position.index) < maxSharers;
    const bool hadTurns = std::exchange(m_hasTurns, hasTurns);
    if (hadTurns && m_hasTurns) {
        const auto left = std::max(m_nextTurn - now, core::Duration::zero());
        m_nextTurn = now + scaled(left, Seconds(interval) / Seconds(earlier));
        return;
    }
    const bool isFirst = earlier == core::Duration::zero();
    m_nextTurn
        = now + (isFirst ? core::Duration::zero() : rate.reserve.countedTime) + scaled(interval, m_random.nextUnit());
}

core::TimePoint RateShare::firstTurn(core::TimePoint now) const
{
    const auto reserve = std::max(m_rate.reserve.time - m_interval, core::Duration::zero());
    return std::max(m_nextTurn, now - reserve);
}

std::size_t RateShare::turnsUntil(core::TimePoint until, core::TimePoint now) const
{
    const auto first = firstTurn(now);
    return m_hasTurns && first <= until ? static_cast<std::size_t>((until - first) / m_interval) + 1 : 0;
}

void RateShare::recordSent(core::TimePoint now)
{
    m_nextTurn = firstTurn(now) + m_interval;
}

} // namespace lycheelanding::decisions::intake

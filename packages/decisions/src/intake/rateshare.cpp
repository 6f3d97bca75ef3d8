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
/// Unused turns of this time may be used later, and the last one at any time.
constexpr core::Duration reserveTime = std::chrono::seconds(1);
/// What all entries together may have in reserve, in seconds of the rate and in requests: the users' rule allows half
/// as much again as the rate over 4 s, and 5 requests. The rest is for the probes of entries without turns.
constexpr double maxReserveSeconds = 2.0;
constexpr double maxReserveRequests = 3.0;
/// An entry that gets turns in place of another one waits until those of the other are no longer counted.
constexpr core::Duration countedTime = std::chrono::seconds(4);

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
    const double maxSharers = std::floor(maxReserveSeconds * perSecond + maxReserveRequests);
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
    m_nextTurn = now + (isFirst ? core::Duration::zero() : countedTime) + scaled(interval, m_random.nextUnit());
}

core::TimePoint RateShare::firstTurn(core::TimePoint now) const
{
    const auto reserve = std::max(reserveTime - m_interval, core::Duration::zero());
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

#include "lycheelanding/decisions/admission/queueforecast.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lycheelanding::decisions::admission {

namespace {

using Seconds = std::chrono::duration<double>;

/// Time constant of the rates: an entry with ten requests per second has seen enough of them after this time, and a
/// surge lasts for several seconds.
constexpr Seconds averagingTime{1.0};
/// More can be sent than arrives at an entry in balance: the rate of sent requests follows the arrivals there.
constexpr double headroom = 1.1;
/// Longer forecasts are useless, as the rates change before.
constexpr Seconds maxForecast{60.0};
/// Callers are told to return no earlier: the queue that they were refused for is still there.
constexpr std::chrono::milliseconds minReturnDelay{500};
/// Part of the rate of sent requests that returning callers may take; the rest is for new ones.
constexpr double returnShare = 0.3;
/// The rate counts as at least this one, so that return times exist while nothing can be sent.
constexpr double minSentPerSecond = 1.0;

} // namespace

void QueueForecast::DecayingRate::record(core::TimePoint now)
{
    weight = perSecond(now) * averagingTime.count() + 1.0;
    updatedAt = std::max(updatedAt, now);
}

double QueueForecast::DecayingRate::perSecond(core::TimePoint now) const
{
    const Seconds passed = std::max(now - updatedAt, core::Duration::zero());
    return weight * std::exp(-passed / averagingTime) / averagingTime.count();
}

void QueueForecast::requestArrived(const core::ServiceId &service, std::uint32_t priority, core::TimePoint now)
{
    m_services[service].arrivalsByPriority[priority].record(now);
}

void QueueForecast::requestSent(const core::ServiceId &service, core::TimePoint now)
{
    m_services[service].sent.record(now);
}

QueueRates QueueForecast::rates(const QueueLevel &level, core::TimePoint now) const
{
    QueueRates rates;
    const auto found = m_services.find(level.service);
    if (found == m_services.end()) {
        return rates;
    }
    const auto &arrivals = found->second.arrivalsByPriority;
    for (auto at = arrivals.begin(); at != arrivals.upper_bound(level.priority); ++at) {
        rates.arrivalsPerSecond += at->second.perSecond(now);
    }
    rates.sentPerSecond = found->second.sent.perSecond(now);
    return rates;
}

std::optional<core::Duration> QueueForecast::drainTime(const QueueLevel &level, std::size_t waiting,
                                                       core::TimePoint now) const
{
    if (waiting == 0) {
        return core::Duration::zero();
    }
    const auto current = rates(level, now);
    const double surplus = headroom * current.sentPerSecond - current.arrivalsPerSecond;
    if (surplus <= static_cast<double>(waiting) / maxForecast.count()) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<core::Duration>(Seconds(static_cast<double>(waiting) / surplus));
}

core::Duration QueueForecast::nextReturn(const QueueLevel &level, core::Duration maxDelay, core::TimePoint now)
{
    const double returnsPerSecond = returnShare * std::max(rates(level, now).sentPerSecond, minSentPerSecond);
    const auto interval = std::chrono::duration_cast<core::Duration>(Seconds(1.0 / returnsPerSecond));
    const auto earliest = now + std::min<core::Duration>(minReturnDelay, maxDelay);
    auto &lastReturn = m_services[level.service].lastReturn;
    lastReturn = std::max(earliest, lastReturn + interval);
    if (lastReturn > now + maxDelay) {
        // All times until then are taken: the later half is used again.
        lastReturn = std::max(earliest, now + maxDelay / 2);
    }
    return lastReturn - now;
}

} // namespace lycheelanding::decisions::admission

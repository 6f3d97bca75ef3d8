#include "lycheelanding/forwarding/overload.h"

#include "lycheelanding/forwarding/refusal.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string>

namespace lycheelanding::forwarding {

namespace {

/// Fraction of the arrivals that are sent at least while capacity is insufficient. With fewer it is interrupted, as
/// while a group stalls or forms anew, and may return at any moment.
constexpr double minSentFraction = 0.25;
/// At a lower rate nothing has been sent for some three seconds, or ever, as while engines start.
constexpr double minKnownPerSecond = 0.05;

} // namespace

bool isOutOfReach(const QueuedRequest &request, const decisions::admission::QueueForecast &forecast,
                  core::TimePoint now)
{
    if (!request.isLimited || now < request.limits.lateSince) {
        return false;
    }
    const auto rates = forecast.rates(request.level, now);
    if (rates.sentPerSecond < std::max(minSentFraction * rates.arrivalsPerSecond, minKnownPerSecond)) {
        return false;
    }
    const auto drainTime = forecast.drainTime(request.level, request.waiting, now);
    return !drainTime || now + *drainTime > request.limits.waitDeadline;
}

core::Error overloadError(const QueuedRequest &request, decisions::admission::QueueForecast &forecast,
                          core::TimePoint now)
{
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(now - request.limits.waitStart);
    const auto detail = "no backend server could take the request within " + std::to_string(waited.count()) + " ms";
    if (!isOutOfReach(request, forecast, now)) {
        return {core::ErrorKind::Overloaded, detail, retryAfterWaiting(waited, request.attemptName)};
    }
    const auto rates = forecast.rates(request.level, now);
    const auto delay = forecast.nextReturn(request.level, maxRetryAfter(request.deadline - now), now);
    return {core::ErrorKind::Overloaded,
            detail + "; per second " + std::to_string(std::llround(rates.arrivalsPerSecond)) + " arrive and "
                + std::to_string(std::llround(rates.sentPerSecond)) + " are sent, " + std::to_string(request.waiting)
                + " wait",
            std::chrono::ceil<std::chrono::milliseconds>(delay)};
}

} // namespace lycheelanding::forwarding

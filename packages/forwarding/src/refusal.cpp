#include "lycheelanding/forwarding/refusal.h"

#include "lycheelanding/core/stablehash.h"
#include "lycheelanding/forwarding/percent.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <string>

namespace lycheelanding::forwarding {

namespace {

/// Retry delay where no better one is known.
constexpr std::chrono::milliseconds defaultRetryAfter{200};
/// The limit of the retry delay is at least this, however little time the caller has left.
constexpr std::chrono::milliseconds minRetryAfterLimit{20};
/// Callers honour a retry delay of up to a third of the time that they have left when the answer arrives.
constexpr int maxRetryAfterPercent = 32;
/// A backlog that did not clear while a request waited is likely to need about the same time again. The range spreads
/// the retries.
constexpr int minOfWaitPercent = 80;
constexpr int maxOfWaitPercent = 150;

/// The spread of retries that are told the same time, in percent of it, and its limit.
constexpr int maxSpreadPercent = 25;
constexpr std::chrono::milliseconds maxSpread{2000};

std::string secondsText(std::chrono::milliseconds time)
{
    constexpr int decimals = 3;
    std::array<char, 32> text{};
    const double seconds = std::chrono::duration<double>(time).count();
    const auto end
        = std::to_chars(text.data(), text.data() + text.size(), seconds, std::chars_format::fixed, decimals).ptr;
    return {text.data(), end};
}

} // namespace

http::HttpResponse refusalResponse(const core::Error &error)
{
    const auto &row = core::answerOf(error.kind);
    auto response = http::jsonResponse(row.httpStatus,
                                       "{\"kind\":\"" + std::string(row.name) + "\",\"ran\":\""
                                           + std::string(core::nameOf(row.ran)) + "\"}");
    if (row.retryCanSucceed) {
        response.headers.add("Retry-After", secondsText(error.retryAfter.value_or(defaultRetryAfter)));
    }
    return response;
}

std::chrono::milliseconds retryAfterWaiting(std::chrono::milliseconds waited, std::string_view attemptName)
{
    constexpr std::uint64_t range = maxOfWaitPercent - minOfWaitPercent + 1;
    const auto percent = minOfWaitPercent + static_cast<int>(core::stableHash(attemptName) % range);
    return percentOf(waited, percent);
}

std::chrono::milliseconds spreadRetryAfter(std::chrono::milliseconds time, std::string_view attemptName)
{
    const auto spread = std::min(percentOf(time, maxSpreadPercent), maxSpread);
    return time
        + std::chrono::milliseconds(core::stableHash(attemptName) % static_cast<std::uint64_t>(spread.count() + 1));
}

std::chrono::milliseconds maxRetryAfter(core::Duration timeLeft)
{
    return std::max(percentOf(std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft), maxRetryAfterPercent),
                    minRetryAfterLimit);
}

core::Error withRetryAfter(const core::Error &error, core::Duration timeLeft)
{
    core::Error result = error;
    // Requests of these kinds are refused until then, however little time the caller has left. The end of an evacuation
    // is not known; earlier repeats would most likely be refused again.
    const bool isFixed = error.kind == core::ErrorKind::RequestHeld || error.kind == core::ErrorKind::TurnedAway
        || error.kind == core::ErrorKind::DataCentresEvacuated;
    if (isFixed && error.retryAfter) {
        return result;
    }
    if (core::answerOf(error.kind).retryCanSucceed) {
        result.retryAfter = std::clamp(result.retryAfter.value_or(defaultRetryAfter), std::chrono::milliseconds(1),
                                       maxRetryAfter(timeLeft));
    }
    return result;
}

} // namespace lycheelanding::forwarding

#include "lycheelanding/forwarding/refusal.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <string>

namespace lycheelanding::forwarding {

namespace {

/// When to come back where nothing better is known.
constexpr std::chrono::milliseconds usualRetryAfter{200};
constexpr std::chrono::milliseconds shortestRetryAfter{20};
/// Callers honour a time to come back up to a third of what they have left.
constexpr int retryAfterPart = 4;

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

http::HttpResponse refusal(const core::Error &error)
{
    const auto &row = core::answerOf(error.kind);
    auto response = http::jsonResponse(row.httpStatus,
                                       "{\"kind\":\"" + std::string(row.name) + "\",\"ran\":\""
                                           + std::string(core::nameOf(row.ran)) + "\"}");
    if (row.retryCanSucceed) {
        response.headers.add("Retry-After", secondsText(error.retryAfter.value_or(usualRetryAfter)));
    }
    return response;
}

core::Error withRetryAfter(const core::Error &error, core::Duration timeLeft)
{
    core::Error result = error;
    if (core::answerOf(error.kind).retryCanSucceed) {
        const auto most = std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft) / retryAfterPart;
        result.retryAfter = std::clamp(result.retryAfter.value_or(usualRetryAfter), std::chrono::milliseconds(1),
                                       std::max(most, shortestRetryAfter));
    }
    return result;
}

} // namespace lycheelanding::forwarding

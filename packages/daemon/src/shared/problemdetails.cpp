#include "shared/problemdetails.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace lycheelanding::daemon::shared {

namespace {

constexpr std::chrono::milliseconds defaultRetryAfter = std::chrono::seconds(1);

/// Rounded up and at least 1, since Retry-After has whole seconds.
std::int64_t wholeSeconds(std::chrono::milliseconds time)
{
    return std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(time).count());
}

} // namespace

http::HttpResponse problemResponse(const core::Error &error)
{
    const auto &answer = core::answerOf(error.kind);
    nlohmann::json problem{
        {"type", "about:blank"},  {"title", std::string(answer.title)}, {"status", answer.httpStatus},
        {"detail", error.detail}, {"kind", std::string(answer.name)},   {"ran", std::string(core::nameOf(answer.ran))}};
    http::HttpResponse response;
    response.status = answer.httpStatus;
    response.headers.add("Content-Type", "application/problem+json");
    if (answer.retryCanSucceed) {
        const auto retryAfter = error.retryAfter.value_or(defaultRetryAfter);
        problem["retryAfterMs"] = retryAfter.count();
        response.headers.add("Retry-After", std::to_string(wholeSeconds(retryAfter)));
    }
    response.body = problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

} // namespace lycheelanding::daemon::shared

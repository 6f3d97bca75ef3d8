#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/http/httpmessages.h"

namespace lycheelanding::forwarding {

/// The response of an entry to a request that it refuses or gives up, according to the table of errors. It has a
/// Retry-After field if a later retry can succeed.
http::HttpResponse refusalResponse(const core::Error &error);

/// Retry delay for a request that has waited without success; requests given up at the same time get different delays.
std::chrono::milliseconds retryAfterWaiting(std::chrono::milliseconds waited, std::string_view attemptName);

/// A retry delay of `time` or somewhat more, different for each request: all are told the same time.
std::chrono::milliseconds spreadRetryAfter(std::chrono::milliseconds time, std::string_view attemptName);

/// The longest retry delay that a caller accepts that waits for another `timeLeft`.
std::chrono::milliseconds maxRetryAfter(core::Duration timeLeft);

/// The error with its retry delay limited to what a caller accepts that waits for another `timeLeft`. An error that a
/// retry cannot fix is returned unchanged.
core::Error withRetryAfter(const core::Error &error, core::Duration timeLeft);

} // namespace lycheelanding::forwarding

#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/http/httpmessages.h"

namespace lycheelanding::forwarding {

/// The answer of an entry to a request that it refuses or gives up, by the table of errors. Where a later try can
/// succeed it says when to come back.
http::HttpResponse refusalResponse(const core::Error &error);

/// When a request is told to come back that has waited in vain; different for requests given up at the same time.
std::chrono::milliseconds retryAfterWaiting(std::chrono::milliseconds waited, std::string_view attemptName);

/// The error with a time to come back that a caller honours who still waits for `timeLeft`.
core::Error withRetryAfter(const core::Error &error, core::Duration timeLeft);

} // namespace lycheelanding::forwarding

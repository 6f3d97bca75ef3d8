#pragma once

#include "lycheelanding/core/result.h"
#include "lycheelanding/http/httpmessages.h"

namespace lycheelanding::daemon::shared {

/// The answer to a caller for `error`: application/problem+json (RFC 9457) with the additional members kind and ran,
/// and Retry-After if a later retry can succeed.
http::HttpResponse problemResponse(const core::Error &error);

} // namespace lycheelanding::daemon::shared

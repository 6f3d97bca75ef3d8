#pragma once

#include "lycheelanding/configuration/configurationrecord.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/http/httpmessages.h"

namespace lycheelanding::daemon::entry {

/// Reads an operator's PATCH request. Fails with MalformedRequest.
core::Result<configuration::SubmittedPatch> patchFrom(const http::HttpRequest &request);

} // namespace lycheelanding::daemon::entry

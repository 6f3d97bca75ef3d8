#pragma once

#include "entry/classifiedrequest.h"

#include "lycheelanding/configuration/configurationdocument.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/http/httpmessages.h"

#include <string_view>

namespace lycheelanding::daemon::entry {

/// Request header fields that the entry evaluates.
inline constexpr std::string_view organisationHeader = "Organisation";
inline constexpr std::string_view idempotencyKeyHeader = "Idempotency-Key";
/// Seconds; may have a fraction.
inline constexpr std::string_view requestTimeoutHeader = "Request-Timeout";
/// RFC 9218, "u=0" to "u=7".
inline constexpr std::string_view priorityHeader = "Priority";

/// Determines organisation, model or service, idempotency, timeout and urgency of a request.
///
/// A request is non-idempotent when its route is configured as such, when it has an Idempotency-Key, or when it is a
/// POST or PATCH to a plain service. Fails with MalformedRequest, UnknownOrganisation, UnknownModel, UnknownRoute or
/// RequestTooLarge.
core::Result<ClassifiedRequest> classifyRequest(const http::HttpRequest &request,
                                                const configuration::Document &document,
                                                const core::DataCentreId &localDataCentre);

} // namespace lycheelanding::daemon::entry

#pragma once

#include "entry/classifiedrequest.h"

#include "lycheelanding/configuration/configurationdocument.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/http/httpmessages.h"

#include <string_view>

namespace lycheelanding::daemon::entry {

/// Header fields with which callers describe their requests.
inline constexpr std::string_view organisationHeader = "Organisation";
inline constexpr std::string_view idempotencyKeyHeader = "Idempotency-Key";
/// Seconds, with a fraction if need be.
inline constexpr std::string_view requestTimeoutHeader = "Request-Timeout";
/// RFC 9218, "u=0" to "u=7".
inline constexpr std::string_view priorityHeader = "Priority";

/// Finds organisation, model or service, idempotency and time limit of a request.
///
/// A request is non-idempotent when its route says so, when it carries an Idempotency-Key, or when it is a POST or
/// PATCH to a plain service. Fails with MalformedRequest, UnknownOrganisation, UnknownModel, UnknownRoute or
/// RequestTooLarge.
core::Result<ClassifiedRequest> classifyRequest(const http::HttpRequest &request,
                                                const configuration::Document &document,
                                                const core::DataCentreId &localDataCentre);

} // namespace lycheelanding::daemon::entry

#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/forwarding/forwardedfields.h"
#include "lycheelanding/forwarding/requestlog.h"
#include "lycheelanding/forwarding/routetable.h"
#include "lycheelanding/http/httpmessages.h"

#include <cstdint>
#include <string>

namespace lycheelanding::forwarding {

/// What a request asks for, and what the configuration says of it.
struct RequestTerms
{
    /// Null while it is unknown. Belongs to the configuration by which the request was read.
    const Route *route = nullptr;
    core::ServiceId service;
    core::OrganisationId organisation;
    TokenCounts tokens;
    decisions::quarantine::SharedFeatures features;
    core::TimePoint deadline;
    TimeLimitSource deadlineSource = TimeLimitSource::Route;
    std::uint32_t priority = 0;
};

/// Fails if the configuration does not allow the request, or while there is none.
core::Result<RequestTerms> requestTerms(const http::HttpRequest &request, const std::string &attemptName,
                                        const RouteTablePointer &routes, const FieldNames &names,
                                        core::TimePoint arrival);

} // namespace lycheelanding::forwarding

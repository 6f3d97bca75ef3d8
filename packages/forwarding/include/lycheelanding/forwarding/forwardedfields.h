#pragma once

#include "lycheelanding/core/ids.h"
#include "lycheelanding/decisions/quarantine/requestfeatures.h"
#include "lycheelanding/forwarding/fieldnames.h"
#include "lycheelanding/http/httpserver.h"
#include "lycheelanding/http/outgoingrequest.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace lycheelanding::forwarding {

/// Header fields that an entry sets in a forwarded request.
struct ForwardedFields
{
    core::OrganisationId organisation;
    std::string expectedBackend;
    std::chrono::milliseconds timeLeft{0};
    /// Id of the last event of a stream that the caller has received; set when the stream is resumed.
    std::optional<std::uint64_t> lastEvent = std::nullopt;
};

/// The caller's request as it is sent to a backend server: method, target and body unchanged, without the caller's key,
/// the hop-by-hop fields and those that only an entry may set. The body stays in the exchange.
http::OutgoingRequest forwardedRequest(const http::HttpExchangePointer &exchange,
                                       const ForwardedFields &forwardedFields, const FieldNames &names);

/// Value of a field in milliseconds, at most 24 hours; nullopt if it is missing or not a number.
std::optional<std::chrono::milliseconds> millisecondsIn(const http::HttpHeaders &headers, const std::string &name);

/// Token counts of a request as its caller states them; 0 where they are missing.
struct TokenCounts
{
    std::uint64_t prompt = 0;
    std::uint64_t maxAnswer = 0;
    std::uint64_t expectedAnswer = 0;
};
TokenCounts tokenCountsOf(const http::HttpHeaders &headers, const FieldNames &names);

/// The ids, separated by spaces.
std::string joinedText(const decisions::quarantine::RequestFeatures &parts);

/// The parts of the prompt that other requests may share, that is all but the last; empty without the field. Parts
/// beyond a limit and those with an empty or overlong id are left out.
decisions::quarantine::RequestFeatures sharedPromptPartsOf(const http::HttpHeaders &headers, const FieldNames &names);

} // namespace lycheelanding::forwarding

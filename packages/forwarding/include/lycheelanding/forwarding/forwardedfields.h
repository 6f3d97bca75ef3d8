#pragma once

#include "lycheelanding/core/ids.h"
#include "lycheelanding/forwarding/fieldnames.h"
#include "lycheelanding/http/httpmessages.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace lycheelanding::forwarding {

/// What an entry sets in a request that it passes on.
struct ForwardedFields
{
    core::OrganisationId organisation;
    std::string expectedBackend;
    std::chrono::milliseconds timeLeft{0};
    /// The caller has the events of a stream up to this one.
    std::optional<std::uint64_t> lastEvent = std::nullopt;
};

/// The caller's request as a backend server gets it: method, target and body unchanged; without the caller's key, the
/// fields that concern one connection, and those that only an entry may set.
std::string forwardedRequest(const http::HttpRequest &request, const ForwardedFields &forwardedFields,
                             const FieldNames &names);

/// A number of milliseconds in a field; nothing when it is missing or not a number.
std::optional<std::chrono::milliseconds> millisecondsIn(const http::HttpHeaders &headers, const std::string &name);

/// Tokens of a generation, by the caller's own figures.
struct TokenCounts
{
    std::uint64_t prompt = 0;
    std::uint64_t maxAnswer = 0;
    std::uint64_t expectedAnswer = 0;
};
TokenCounts tokenCountsOf(const http::HttpHeaders &headers, const FieldNames &names);

} // namespace lycheelanding::forwarding

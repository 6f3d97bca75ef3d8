#pragma once

#include "lycheelanding/core/ids.h"
#include "lycheelanding/decisions/routing/routerequest.h"

#include <chrono>
#include <cstdint>
#include <string>

/// The role on an entry VM: callers' requests, the way to the sides, the configuration and the operators' interface.
namespace lycheelanding::daemon::entry {

/// What the entry needs to know of a caller's request.
struct ClassifiedRequest
{
    core::OrganisationId organisation;
    decisions::routing::RouteRequest route;
    bool isIdempotent = true;
    /// Empty when the caller gave none.
    std::string idempotencyKey;
    std::chrono::milliseconds timeout = std::chrono::seconds(30);
    /// RFC 9218: 0 is the most urgent, 7 the least.
    std::uint8_t urgency = 3;
    /// Tokens of the prompt; 0 for a plain service.
    std::uint64_t promptTokens = 0;
};

/// The urgency that the engine gets for a request of an organisation above its share: below that of all requests
/// without a wish of their own.
constexpr std::uint8_t urgencyBeyondShare(std::uint8_t requested)
{
    constexpr std::uint8_t lowUrgency = 6;
    return requested > lowUrgency ? requested : lowUrgency;
}

} // namespace lycheelanding::daemon::entry

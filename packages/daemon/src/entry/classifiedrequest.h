#pragma once

#include "lycheelanding/core/ids.h"
#include "lycheelanding/decisions/routing/routerequest.h"

#include <chrono>
#include <cstdint>
#include <string>

/// The entry role of the daemon: accepts callers' requests and forwards them to the sides, distributes the
/// configuration and serves the operator interface.
namespace lycheelanding::daemon::entry {

/// The properties of a caller's request that the entry uses.
struct ClassifiedRequest
{
    core::OrganisationId organisation;
    decisions::routing::RouteRequest route;
    bool isIdempotent = true;
    /// Empty when the request has none.
    std::string idempotencyKey;
    std::chrono::milliseconds timeout = std::chrono::seconds(30);
    /// RFC 9218: 0 is the most urgent, 7 the least.
    std::uint8_t urgency = 3;
    /// Estimated number of tokens of the prompt; 0 for a plain service.
    std::uint64_t promptTokens = 0;
};

/// The urgency sent to the engine for a request of an organisation that exceeds its share: less urgent than the
/// default, so that requests without a Priority header go first.
constexpr std::uint8_t urgencyBeyondShare(std::uint8_t requested)
{
    constexpr std::uint8_t lowUrgency = 6;
    return requested > lowUrgency ? requested : lowUrgency;
}

} // namespace lycheelanding::daemon::entry

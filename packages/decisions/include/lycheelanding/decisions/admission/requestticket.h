#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"
#include "lycheelanding/core/result.h"

#include <array>
#include <cstdint>
#include <variant>
#include <vector>

namespace lycheelanding::decisions::admission {

/// Unique among the requests of one entry.
using TicketId = core::NumberId<struct TicketTag>;

/// Orders the requests of one organisation; does not affect the shares between organisations.
enum class Priority : std::uint8_t {
    High,
    Normal,
    Low,
};

inline constexpr std::size_t priorityCount = 3;

/// The properties of a request that admission control uses.
struct RequestTicket
{
    TicketId id;
    core::OrganisationId organisation;
    Priority priority = Priority::Normal;
    core::TimePoint deadline;
    /// Expected work in a unit common to all organisations, such as tokens; at least 1.
    std::uint64_t cost = 1;
};

struct Admitted
{
    /// The organisation exceeds its share: the engine gets the request with a lower priority than those of others.
    bool isBeyondShare = false;
};

struct Queued
{ };

struct Refused
{
    core::Error error;
};

using OfferResult = std::variant<Admitted, Queued, Refused>;

struct AdmittedTicket
{
    TicketId id;
    bool isBeyondShare = false;
};

struct RefusedTicket
{
    TicketId id;
    core::Error error;
};

/// Tickets removed from the queues: the admitted ones must be sent now, the refused ones answered.
struct DequeuedTickets
{
    std::vector<AdmittedTicket> admitted;
    std::vector<RefusedTicket> refused;
};

struct OrganisationShare
{
    core::OrganisationId organisation;
    double weight = 1.0;
    /// Limit of the requests in flight at all entries together; 0 means no limit.
    std::size_t maxInFlight = 0;
};

} // namespace lycheelanding::decisions::admission

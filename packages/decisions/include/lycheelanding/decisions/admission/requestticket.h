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

/// Order among the requests of one organisation; the shares between organisations do not depend on it.
enum class Priority : std::uint8_t {
    High,
    Normal,
    Low,
};

inline constexpr std::size_t priorityCount = 3;

/// What admission needs to know of a request.
struct RequestTicket
{
    TicketId id;
    core::OrganisationId organisation;
    Priority priority = Priority::Normal;
    core::TimePoint deadline;
    /// Work in any unit that is the same for all organisations, such as expected tokens; at least 1.
    std::uint64_t cost = 1;
};

struct Admitted
{
    /// The organisation is above its share: its request goes to the engine with a lower priority than others'.
    bool beyondShare = false;
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
    bool beyondShare = false;
};

struct RefusedTicket
{
    TicketId id;
    core::Error error;
};

/// Tickets that left the queues: each of them is to be sent or answered now.
struct DequeuedTickets
{
    std::vector<AdmittedTicket> admitted;
    std::vector<RefusedTicket> refused;
};

struct OrganisationShare
{
    core::OrganisationId organisation;
    double weight = 1.0;
    /// Requests in flight across all entries; 0 sets no limit.
    std::size_t maxInFlight = 0;
};

} // namespace lycheelanding::decisions::admission

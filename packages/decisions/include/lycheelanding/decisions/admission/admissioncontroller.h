#pragma once

#include "lycheelanding/decisions/admission/requestticket.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace lycheelanding::decisions::admission {

struct AdmissionSettings
{
    std::size_t maxQueuedPerOrganisation = 256;
    /// A request whose expected wait in the queue is longer is refused at once.
    core::Duration maxQueueWait = std::chrono::seconds(1);
    /// Fraction of the capacity that an organisation far above its share leaves free for the others.
    double reserveFraction = 0.28;
    /// Multiple of its share at which an organisation leaves the whole reserve free. Between 1 and this multiple, the
    /// fraction of the reserve grows linearly.
    double fullReserveMultiple = 3.0;
    /// Bounds of the Retry-After in refusals.
    std::chrono::milliseconds minRetryAfter = std::chrono::milliseconds(200);
    std::chrono::milliseconds maxRetryAfter = std::chrono::seconds(10);
};

/// Admission control of one entry: a concurrency limit shared by weighted fair queues, one for each organisation.
/// Weights and limits of organisations apply to all entries together: each entry gets a fraction in proportion to the
/// demand that it receives.
class AdmissionController
{
public:
    explicit AdmissionController(AdmissionSettings settings);

    /// Replaces the settings; requests that are queued or in flight are kept.
    void configure(const AdmissionSettings &settings) { m_settings = settings; }

    /// Replaces the organisations. One that is no longer listed keeps its last share while it has requests queued or in
    /// flight.
    void setOrganisations(const std::vector<OrganisationShare> &shares);
    void setLiveEntries(std::size_t entries);
    /// Sets how many requests this entry may have in flight: the sum of the limits of the available backend servers.
    void setCapacity(std::size_t requests) { m_capacity = requests; }
    /// Sets the demand of an organisation at all other entries together, in requests per second.
    void setRemoteDemand(const core::OrganisationId &organisation, double requestsPerSecond);

    /// Admits, queues or refuses a new request.
    OfferResult offer(const RequestTicket &ticket, core::TimePoint now);
    /// An admitted request has ended; its duration enters the mean request duration.
    void completed(TicketId id, core::TimePoint now);
    /// The caller of a queued or admitted request has disconnected.
    void cancelled(TicketId id, core::TimePoint now);
    /// Admits queued requests while there is capacity and refuses those that can no longer meet their deadline. Must be
    /// called after completed(), cancelled() and setCapacity(), and at the time that nextExpiry() returns.
    DequeuedTickets dequeue(core::TimePoint now);

    /// Demand of an organisation at this entry, in requests per second; the other entries pass it to setRemoteDemand().
    double localDemand(const core::OrganisationId &organisation, core::TimePoint now) const;
    /// Earliest time at which a queued request can no longer meet its deadline.
    std::optional<core::TimePoint> nextExpiry() const;
    std::size_t inFlight() const { return m_inFlight; }
    std::size_t inFlight(const core::OrganisationId &organisation) const;
    std::size_t queued() const { return m_queued; }
    std::size_t queued(const core::OrganisationId &organisation) const;

private:
    struct Organisation
    {
        OrganisationShare share;
        std::array<std::deque<RequestTicket>, priorityCount> queues;
        std::size_t queued = 0;
        std::size_t inFlight = 0;
        /// Virtual time at which the next request of the organisation starts (start-time fair queueing).
        double startTag = 0.0;
        /// Requests per second; negative while unknown.
        double remoteDemand = -1.0;
        /// Smoothed requests per second at this entry.
        double demand = 0.0;
        double offersInPeriod = 0.0;
        core::TimePoint periodStart;
    };

    struct Running
    {
        core::OrganisationId organisation;
        core::TimePoint startedAt;
    };

    double effectiveWeight(const Organisation &organisation) const;
    double shareOfCapacity(const Organisation &organisation) const;
    bool mayStart(const Organisation &organisation) const;
    bool isWithinShare(const Organisation &organisation) const;
    core::Duration expectedWait(const Organisation &organisation, Priority priority) const;
    std::optional<core::Error> reasonToRefuse(const Organisation &organisation, const RequestTicket &ticket,
                                              core::TimePoint now) const;
    core::Error refusal(core::ErrorKind kind, std::string detail, core::Duration wait) const;
    /// Moves the request to the requests in flight. Returns whether it exceeds the organisation's share.
    bool start(Organisation &organisation, const RequestTicket &ticket, core::TimePoint now);
    void recordOffer(Organisation &organisation, core::TimePoint now) const;
    void refuseUnmeetable(Organisation &organisation, DequeuedTickets &dequeued, core::TimePoint now);
    Organisation *nextOrganisation();
    RequestTicket dequeueFirst(Organisation &organisation);
    void updateWeightSum();

    AdmissionSettings m_settings;
    std::map<core::OrganisationId, Organisation> m_organisations;
    std::unordered_map<TicketId, Running> m_running;
    std::size_t m_capacity = 0;
    std::size_t m_liveEntries = 1;
    std::size_t m_inFlight = 0;
    std::size_t m_queued = 0;
    double m_virtualTime = 0.0;
    double m_weightSum = 0.0;
    double m_meanRequestSeconds = 0.0;
};

} // namespace lycheelanding::decisions::admission

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
    /// Requests that would wait longer are refused at once.
    core::Duration maxQueueWait = std::chrono::seconds(1);
    /// Part of the capacity that organisations far above their share leave free for the others.
    double reserveFraction = 0.28;
    /// Multiple of its share from which an organisation leaves the whole reserve free; below, it leaves a part.
    double fullReserveMultiple = 3.0;
    /// Bounds of the Retry-After that refusals carry.
    std::chrono::milliseconds minRetryAfter = std::chrono::milliseconds(200);
    std::chrono::milliseconds maxRetryAfter = std::chrono::seconds(10);
};

/// Admission of one entry: a concurrency limit shared by weighted fair queues, one for each organisation.
/// Weights and limits hold across entries: a share is split between them in proportion to the demand at each.
class AdmissionController
{
public:
    explicit AdmissionController(AdmissionSettings settings);

    /// Other settings hold from now on; requests queued or in flight stay.
    void configure(const AdmissionSettings &settings) { m_settings = settings; }

    /// Organisations that are no longer named keep what they have queued or in flight, with their last share.
    void setOrganisations(const std::vector<OrganisationShare> &shares);
    void setLiveEntries(std::size_t entries);
    /// Requests that may be in flight from this entry: the sum of the limits of the backend servers in service.
    void setCapacity(std::size_t requests) { m_capacity = requests; }
    /// Demand of an organisation at all other entries together, requests per second.
    void setRemoteDemand(const core::OrganisationId &organisation, double requestsPerSecond);

    OfferResult offer(const RequestTicket &ticket, core::TimePoint now);
    /// An admitted request ended.
    void completed(TicketId id, core::TimePoint now);
    /// The caller of a queued or admitted request went away.
    void cancelled(TicketId id, core::TimePoint now);
    /// To be called after completed(), cancelled(), setCapacity() and at nextExpiry().
    DequeuedTickets dequeue(core::TimePoint now);

    /// Demand of an organisation at this entry, requests per second; for the other entries' setRemoteDemand().
    double localDemand(const core::OrganisationId &organisation, core::TimePoint now) const;
    /// When a queued request can no longer meet its deadline.
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
        /// Virtual time at which the next request of the organisation starts.
        double startTag = 0.0;
        double remoteDemand = -1.0;
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
    /// Returns whether the request goes beyond the organisation's share.
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

#include "lycheelanding/decisions/admission/admissioncontroller.h"

#include <algorithm>
#include <cmath>

namespace lycheelanding::decisions::admission {

namespace {

// Weights of a new sample in the exponential moving averages of request duration and demand.
constexpr double durationSampleWeight = 0.02;
constexpr double demandSampleWeight = 0.3;
constexpr core::Duration demandPeriod = std::chrono::milliseconds(250);
// The local demand counts as zero when its last sampling period began longer ago than this.
constexpr core::Duration demandExpiry = std::chrono::seconds(5);

core::Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

AdmissionController::AdmissionController(AdmissionSettings settings) : m_settings(settings) { }

void AdmissionController::setOrganisations(const std::vector<OrganisationShare> &shares)
{
    std::map<core::OrganisationId, Organisation> organisations;
    for (const auto &share : shares) {
        const auto known = m_organisations.find(share.organisation);
        if (known != m_organisations.end()) {
            organisations[share.organisation] = std::move(known->second);
            m_organisations.erase(known);
        }
        organisations[share.organisation].share = share;
    }
    for (auto &[id, organisation] : m_organisations) {
        if (organisation.queued > 0 || organisation.inFlight > 0) {
            organisations[id] = std::move(organisation);
        }
    }
    m_organisations = std::move(organisations);
    updateWeightSum();
}

void AdmissionController::setLiveEntries(std::size_t entries)
{
    m_liveEntries = std::max<std::size_t>(entries, 1);
    updateWeightSum();
}

void AdmissionController::setRemoteDemand(const core::OrganisationId &organisation, double requestsPerSecond)
{
    const auto found = m_organisations.find(organisation);
    if (found != m_organisations.end()) {
        found->second.remoteDemand = requestsPerSecond;
        updateWeightSum();
    }
}

OfferResult AdmissionController::offer(const RequestTicket &ticket, core::TimePoint now)
{
    const auto found = m_organisations.find(ticket.organisation);
    if (found == m_organisations.end()) {
        return Refused{{core::ErrorKind::UnknownOrganisation, "the organisation has no share"}};
    }
    Organisation &organisation = found->second;
    recordOffer(organisation, now);
    if (const auto error = reasonToRefuse(organisation, ticket, now)) {
        return Refused{*error};
    }
    if (organisation.queued == 0 && mayStart(organisation)) {
        return Admitted{start(organisation, ticket, now)};
    }
    if (organisation.queued == 0) {
        organisation.startTag = std::max(organisation.startTag, m_virtualTime);
    }
    organisation.queues[static_cast<std::size_t>(ticket.priority)].push_back(ticket);
    ++organisation.queued;
    ++m_queued;
    return Queued{};
}

void AdmissionController::completed(TicketId id, core::TimePoint now)
{
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return;
    }
    const double seconds = std::chrono::duration<double>(now - found->second.startedAt).count();
    m_meanRequestSeconds
        += (m_meanRequestSeconds == 0.0 ? 1.0 : durationSampleWeight) * (seconds - m_meanRequestSeconds);
    cancelled(id, now);
}

void AdmissionController::cancelled(TicketId id, core::TimePoint)
{
    const auto running = m_running.find(id);
    if (running != m_running.end()) {
        const auto organisation = m_organisations.find(running->second.organisation);
        --organisation->second.inFlight;
        --m_inFlight;
        m_running.erase(running);
        return;
    }
    for (auto &[name, organisation] : m_organisations) {
        for (auto &queue : organisation.queues) {
            const std::size_t removed = std::erase_if(queue, [&](const auto &ticket) { return ticket.id == id; });
            organisation.queued -= removed;
            m_queued -= removed;
        }
    }
}

DequeuedTickets AdmissionController::dequeue(core::TimePoint now)
{
    DequeuedTickets dequeued;
    for (auto &[name, organisation] : m_organisations) {
        refuseUnmeetable(organisation, dequeued, now);
    }
    while (Organisation *organisation = nextOrganisation()) {
        const RequestTicket ticket = dequeueFirst(*organisation);
        const bool isBeyondShare = start(*organisation, ticket, now);
        dequeued.admitted.push_back({ticket.id, isBeyondShare});
    }
    return dequeued;
}

double AdmissionController::localDemand(const core::OrganisationId &organisation, core::TimePoint now) const
{
    const auto found = m_organisations.find(organisation);
    if (found == m_organisations.end() || now - found->second.periodStart > demandExpiry) {
        return 0.0;
    }
    return found->second.demand;
}

std::optional<core::TimePoint> AdmissionController::nextExpiry() const
{
    std::optional<core::TimePoint> earliest;
    for (const auto &[name, organisation] : m_organisations) {
        for (const auto &queue : organisation.queues) {
            for (const auto &ticket : queue) {
                const core::TimePoint latestStart = ticket.deadline - durationOf(m_meanRequestSeconds);
                earliest = std::min(earliest.value_or(latestStart), latestStart);
            }
        }
    }
    return earliest;
}

std::size_t AdmissionController::inFlight(const core::OrganisationId &organisation) const
{
    const auto found = m_organisations.find(organisation);
    return found == m_organisations.end() ? 0 : found->second.inFlight;
}

std::size_t AdmissionController::queued(const core::OrganisationId &organisation) const
{
    const auto found = m_organisations.find(organisation);
    return found == m_organisations.end() ? 0 : found->second.queued;
}

double AdmissionController::effectiveWeight(const Organisation &organisation) const
{
    const double evenFraction = 1.0 / static_cast<double>(m_liveEntries);
    const double total = organisation.demand + std::max(organisation.remoteDemand, 0.0);
    const bool isKnown = organisation.remoteDemand >= 0.0 && total > 0.0;
    const double fraction = isKnown ? organisation.demand / total : evenFraction;
    // At least half of an even split is kept, so that an organisation has a share as soon as its demand moves here.
    return organisation.share.weight * std::max(fraction, 0.5 * evenFraction) * static_cast<double>(m_liveEntries);
}

double AdmissionController::shareOfCapacity(const Organisation &organisation) const
{
    if (m_weightSum <= 0.0) {
        return 0.0;
    }
    return static_cast<double>(m_capacity) * effectiveWeight(organisation) / m_weightSum;
}

bool AdmissionController::isWithinShare(const Organisation &organisation) const
{
    return static_cast<double>(organisation.inFlight + 1) <= std::max(1.0, shareOfCapacity(organisation));
}

bool AdmissionController::mayStart(const Organisation &organisation) const
{
    if (m_inFlight >= m_capacity) {
        return false;
    }
    const std::size_t limit = organisation.share.maxInFlight;
    if (limit > 0) {
        const double fraction
            = effectiveWeight(organisation) / (organisation.share.weight * static_cast<double>(m_liveEntries));
        const double localLimit = std::max(1.0, std::floor(static_cast<double>(limit) * fraction));
        if (static_cast<double>(organisation.inFlight + 1) > localLimit) {
            return false;
        }
    }
    if (isWithinShare(organisation)) {
        return true;
    }
    // The reserve lets a request of an organisation within its share start without waiting for another one to end. The
    // reserved capacity grows with the excess, so that an organisation just above its share is hardly limited.
    const double multiple
        = static_cast<double>(organisation.inFlight + 1) / std::max(1.0, shareOfCapacity(organisation));
    const double fraction = std::min(1.0, (multiple - 1.0) / (m_settings.fullReserveMultiple - 1.0));
    const double reserved = fraction * m_settings.reserveFraction * static_cast<double>(m_capacity);
    return static_cast<double>(m_inFlight + 1) <= static_cast<double>(m_capacity) - reserved;
}

core::Duration AdmissionController::expectedWait(const Organisation &organisation, Priority priority) const
{
    if (m_capacity == 0) {
        return m_settings.maxQueueWait;
    }
    double backlogged = organisation.queued == 0 ? effectiveWeight(organisation) : 0.0;
    for (const auto &[name, other] : m_organisations) {
        backlogged += other.queued > 0 ? effectiveWeight(other) : 0.0;
    }
    std::size_t ahead = 0;
    for (std::size_t level = 0; level <= static_cast<std::size_t>(priority); ++level) {
        ahead += organisation.queues[level].size();
    }
    const double completionsPerSecond = static_cast<double>(m_capacity) / std::max(m_meanRequestSeconds, 1e-6);
    const double organisationFraction = effectiveWeight(organisation) / std::max(backlogged, 1e-9);
    return durationOf(static_cast<double>(ahead) / std::max(completionsPerSecond * organisationFraction, 1e-6));
}

std::optional<core::Error> AdmissionController::reasonToRefuse(const Organisation &organisation,
                                                               const RequestTicket &ticket, core::TimePoint now) const
{
    const bool startsNow = organisation.queued == 0 && mayStart(organisation);
    const core::Duration wait = startsNow ? core::Duration::zero() : expectedWait(organisation, ticket.priority);
    if (now + wait + durationOf(m_meanRequestSeconds) > ticket.deadline) {
        return refusal(core::ErrorKind::DeadlineUnmeetable, "the request cannot be answered before its deadline", wait);
    }
    if (startsNow) {
        return std::nullopt;
    }
    const bool isFull = organisation.queued >= m_settings.maxQueuedPerOrganisation || wait > m_settings.maxQueueWait;
    if (!isFull) {
        return std::nullopt;
    }
    if (isWithinShare(organisation)) {
        return refusal(core::ErrorKind::Overloaded, "the queue is full", wait);
    }
    return refusal(core::ErrorKind::OrganisationLimit, "the organisation is above its share", wait);
}

core::Error AdmissionController::refusal(core::ErrorKind kind, std::string detail, core::Duration wait) const
{
    const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(wait);
    return {kind, std::move(detail), std::clamp(rounded, m_settings.minRetryAfter, m_settings.maxRetryAfter)};
}

bool AdmissionController::start(Organisation &organisation, const RequestTicket &ticket, core::TimePoint now)
{
    const bool isBeyondShare = !isWithinShare(organisation);
    const double weight = std::max(effectiveWeight(organisation), 1e-9);
    const double startTag = std::max(organisation.startTag, m_virtualTime);
    m_virtualTime = startTag;
    organisation.startTag = startTag + static_cast<double>(std::max<std::uint64_t>(ticket.cost, 1)) / weight;
    ++organisation.inFlight;
    ++m_inFlight;
    m_running[ticket.id] = {ticket.organisation, now};
    return isBeyondShare;
}

void AdmissionController::recordOffer(Organisation &organisation, core::TimePoint now) const
{
    organisation.offersInPeriod += 1.0;
    const core::Duration passed = now - organisation.periodStart;
    if (passed < demandPeriod) {
        return;
    }
    const double rate = organisation.offersInPeriod / std::chrono::duration<double>(passed).count();
    organisation.demand += demandSampleWeight * (rate - organisation.demand);
    organisation.offersInPeriod = 0.0;
    organisation.periodStart = now;
}

void AdmissionController::refuseUnmeetable(Organisation &organisation, DequeuedTickets &dequeued, core::TimePoint now)
{
    const core::TimePoint expectedEnd = now + durationOf(m_meanRequestSeconds);
    for (auto &queue : organisation.queues) {
        const std::size_t removed = std::erase_if(queue, [&](const RequestTicket &ticket) {
            const bool isUnmeetable = ticket.deadline < expectedEnd;
            if (isUnmeetable) {
                dequeued.refused.push_back({ticket.id,
                                            refusal(core::ErrorKind::DeadlineUnmeetable,
                                                    "the request waited until its deadline could not be met",
                                                    expectedWait(organisation, ticket.priority))});
            }
            return isUnmeetable;
        });
        organisation.queued -= removed;
        m_queued -= removed;
    }
}

AdmissionController::Organisation *AdmissionController::nextOrganisation()
{
    Organisation *first = nullptr;
    for (auto &[name, organisation] : m_organisations) {
        if (organisation.queued == 0 || !mayStart(organisation)) {
            continue;
        }
        if (first == nullptr || organisation.startTag < first->startTag) {
            first = &organisation;
        }
    }
    return first;
}

RequestTicket AdmissionController::dequeueFirst(Organisation &organisation)
{
    for (auto &queue : organisation.queues) {
        if (!queue.empty()) {
            RequestTicket ticket = queue.front();
            queue.pop_front();
            --organisation.queued;
            --m_queued;
            return ticket;
        }
    }
    return {};
}

void AdmissionController::updateWeightSum()
{
    m_weightSum = 0.0;
    for (const auto &[name, organisation] : m_organisations) {
        m_weightSum += effectiveWeight(organisation);
    }
}

} // namespace lycheelanding::decisions::admission

#pragma once

#include "eventqueue.h"
#include "fakecluster.h"
#include "measurement.h"
#include "scenario.h"

#include "lycheelanding/decisions/admission/admissioncontroller.h"
#include "lycheelanding/decisions/admission/concurrencylimits.h"
#include "lycheelanding/decisions/retry/retrypolicy.h"

#include <map>
#include <unordered_map>

namespace lycheelanding::bench::routing {

/// An entry with the library's admission, concurrency limits and retries in front of the measured selector.
template <typename Selector>
class FakeEntry
{
public:
    FakeEntry(std::size_t index, Selector selector, std::uint64_t seed, EventQueue &queue, FakeCluster &cluster,
              Measurement &measurement)
        : m_index(index), m_selector(std::move(selector)), m_admission({}), m_limits(limiterSettings()),
          m_retry({}, seed), m_queue(queue), m_cluster(cluster), m_measurement(measurement), m_lastId(seed >> 1)
    {
        const auto candidates = cluster.candidates();
        m_vms.reserve(candidates.size());
        for (const auto &candidate : candidates) {
            m_vms.push_back(candidate.vm);
        }
        m_selector.setCandidates(candidates);
        m_selector.setLiveEntries(SimulationParameters::entries);
        m_limits.setServers(m_vms);
        m_admission.setOrganisations(organisationShares());
        m_admission.setLiveEntries(SimulationParameters::entries);
    }

    /// Handles a caller's request; `isMeasured` says whether it counts in the measurement.
    void handleArrival(const CallerRequest &request, bool isMeasured)
    {
        updateCapacity();
        const std::uint64_t id = ++m_lastId;
        PendingRequest &pending = m_pendingRequests[id];
        pending.request = request;
        pending.isMeasured = isMeasured;
        pending.arrivedAt = m_queue.now();
        pending.deadline = m_queue.now() + SimulationParameters::timeToDeadline;
        incrementCounter(pending, &Measurement::offered, &Measurement::offeredByOthers);
        const decisions::admission::RequestTicket ticket{
            decisions::admission::TicketId(id), organisationIdOf(request.organisation),
            decisions::admission::Priority::Normal, pending.deadline, expectedTokens(request)};
        const auto result = m_admission.offer(ticket, m_queue.now());
        if (const auto *admitted = std::get_if<decisions::admission::Admitted>(&result)) {
            m_retry.firstAttemptSent();
            pending.isBeyondShare = admitted->isBeyondShare;
            send(id);
        } else if (std::holds_alternative<decisions::admission::Refused>(result)) {
            refuse(id);
        }
    }

    void reportLoad(const core::VmId &vm, const decisions::routing::LoadReport &report)
    {
        m_selector.reportLoad(vm, report);
    }

    void setLeaving(const core::VmId &vm) { m_selector.setLeaving(vm); }

    void tick()
    {
        updateCapacity();
        admitQueued();
    }

    void firstToken(decisions::routing::AttemptId attempt)
    {
        const auto found = m_attempts.find(attempt);
        if (found == m_attempts.end()) {
            return;
        }
        Attempt &attemptState = found->second;
        PendingRequest &pending = m_pendingRequests[attemptState.request];
        const core::TimePoint now = m_queue.now();
        m_selector.firstToken(attempt, pending.request.promptTokens, now);
        m_limits.firstToken(attemptState.vm, now - attemptState.sentAt, now);
        attemptState.lastTokenAt = now;
        recordTimeToFirstToken(pending, now - pending.arrivedAt);
    }

    void token(decisions::routing::AttemptId attempt)
    {
        const auto found = m_attempts.find(attempt);
        if (found == m_attempts.end()) {
            return;
        }
        Attempt &attemptState = found->second;
        const core::TimePoint now = m_queue.now();
        if (m_pendingRequests[attemptState.request].isMeasured) {
            m_measurement.timeBetweenTokens.add(now - attemptState.lastTokenAt);
        }
        attemptState.lastTokenAt = now;
        ++attemptState.unreportedTokens;
        if (attemptState.unreportedTokens == tokensPerChunk) {
            m_selector.tokenProgress(attempt, tokensPerChunk, now);
            attemptState.unreportedTokens = 0;
        }
    }

    void answered(decisions::routing::AttemptId attempt)
    {
        if (m_attempts.count(attempt) == 0) {
            return;
        }
        const std::uint64_t id = endAttempt(attempt, decisions::routing::Outcome::Answered, false);
        PendingRequest &pending = m_pendingRequests[id];
        // Counted by the time of the answer: answers after the measurement interval are to requests that were still
        // queued at its end and do not add to the goodput.
        if (m_measurement.isWithin(m_queue.now()) && m_queue.now() <= pending.deadline) {
            ++m_measurement.answeredInTime;
        }
        finish(id);
    }

    /// The attempt was refused or failed.
    void failed(decisions::routing::AttemptId attempt, core::ErrorKind kind, core::Ran ran)
    {
        if (m_attempts.count(attempt) == 0) {
            return;
        }
        const auto outcome = kind == core::ErrorKind::Draining ? decisions::routing::Outcome::Leaving
                                                               : decisions::routing::Outcome::Failed;
        const std::uint64_t id = endAttempt(attempt, outcome, kind == core::ErrorKind::Overloaded);
        retryOrFail(id, {kind, "attempt failed"}, ran);
    }

private:
    static constexpr std::uint64_t tokensPerChunk = 4;

    struct PendingRequest
    {
        CallerRequest request;
        bool isMeasured = false;
        core::TimePoint arrivedAt;
        core::TimePoint deadline;
        std::uint32_t attempts = 0;
        std::vector<core::VmId> triedVms;
        bool isFirstTokenRecorded = false;
        bool isBeyondShare = false;
    };

    struct Attempt
    {
        std::uint64_t request = 0;
        core::VmId vm;
        core::RankIndex rank;
        core::TimePoint sentAt;
        core::TimePoint lastTokenAt;
        std::uint64_t unreportedTokens = 0;
    };

    static decisions::admission::LimiterSettings limiterSettings()
    {
        decisions::admission::LimiterSettings settings;
        const EngineModel model;
        settings.initialLimit = static_cast<double>(model.batchSize * SimulationParameters::ranksPerVm)
            / static_cast<double>(SimulationParameters::entries);
        return settings;
    }

    static core::OrganisationId organisationIdOf(std::size_t index)
    {
        return core::OrganisationId("organisation-" + std::to_string(index));
    }

    static std::vector<decisions::admission::OrganisationShare> organisationShares()
    {
        std::vector<decisions::admission::OrganisationShare> shares;
        for (std::size_t index = 0; index < SimulationParameters::organisations; ++index) {
            shares.push_back({organisationIdOf(index)});
        }
        return shares;
    }

    static std::uint64_t expectedTokens(const CallerRequest &request)
    {
        constexpr std::uint64_t expectedOutputTokens = 80;
        return request.promptTokens + expectedOutputTokens;
    }

    void incrementCounter(const PendingRequest &pending, std::uint64_t Measurement::*all,
                          std::uint64_t Measurement::*others)
    {
        if (!pending.isMeasured) {
            return;
        }
        ++(m_measurement.*all);
        if (others != nullptr && pending.request.organisation != 0) {
            ++(m_measurement.*others);
        }
    }

    void recordTimeToFirstToken(PendingRequest &pending, core::Duration delay)
    {
        if (pending.isFirstTokenRecorded || !pending.isMeasured) {
            return;
        }
        pending.isFirstTokenRecorded = true;
        m_measurement.timeToFirstToken.add(delay);
        if (pending.request.organisation != 0) {
            m_measurement.timeToFirstTokenOfOthers.add(delay);
        }
    }

    void updateCapacity()
    {
        std::size_t capacity = 0;
        for (const auto &vm : m_vms) {
            capacity += m_selector.isAvailable(vm, m_queue.now()) ? m_limits.limit(vm) : 0;
        }
        m_admission.setCapacity(capacity);
    }

    decisions::routing::RouteRequest routeRequest(const PendingRequest &pending) const
    {
        decisions::routing::RouteRequest request;
        request.service = FakeCluster::service();
        request.model = FakeCluster::model();
        request.organisation = organisationIdOf(pending.request.organisation);
        request.prefix = pending.request.prefix;
        request.expectedTokens = expectedTokens(pending.request);
        request.localDataCentre = FakeCluster::dataCentreOf(m_index);
        request.excluded = m_limits.saturated();
        request.excluded.insert(request.excluded.end(), pending.triedVms.begin(), pending.triedVms.end());
        return request;
    }

    void send(std::uint64_t id)
    {
        PendingRequest &pending = m_pendingRequests[id];
        ++pending.attempts;
        const core::TimePoint now = m_queue.now();
        const auto result = m_selector.choose(routeRequest(pending), now);
        if (!core::isOk(result)) {
            retryOrFail(id, core::errorOf(result), core::Ran::No);
            return;
        }
        const auto choice = core::valueOf(result);
        const decisions::routing::AttemptId attempt(++m_lastId);
        m_selector.requestSent(attempt, choice, expectedTokens(pending.request), now);
        m_limits.requestSent(choice.vm);
        m_attempts[attempt] = {id, choice.vm, choice.rank, now, now};
        pending.triedVms.push_back(choice.vm);
        EngineJob job{m_index,
                      attempt,
                      pending.request.promptTokens,
                      pending.request.outputTokens,
                      0,
                      pending.request.prefix,
                      pending.isBeyondShare};
        m_queue.scheduleAt(pending.deadline, [this, attempt] { timedOut(attempt); });
        m_cluster.submit(choice.vm, choice.rank, job);
    }

    void timedOut(decisions::routing::AttemptId attempt)
    {
        const auto found = m_attempts.find(attempt);
        if (found == m_attempts.end()) {
            return;
        }
        m_cluster.cancel(found->second.vm, found->second.rank, m_index, attempt);
        const std::uint64_t id = endAttempt(attempt, decisions::routing::Outcome::TimedOut, true);
        recordFailure(id);
    }

    std::uint64_t endAttempt(decisions::routing::AttemptId attempt, decisions::routing::Outcome outcome,
                             bool overloaded)
    {
        const Attempt attemptState = m_attempts[attempt];
        m_attempts.erase(attempt);
        m_selector.requestEnded(attempt, outcome, m_queue.now());
        m_limits.requestEnded(attemptState.vm, overloaded, m_queue.now());
        return attemptState.request;
    }

    void retryOrFail(std::uint64_t id, core::Error error, core::Ran ran)
    {
        PendingRequest &pending = m_pendingRequests[id];
        const decisions::retry::FailedAttempt failed{pending.attempts, std::move(error), ran, true, pending.deadline};
        const auto decision = m_retry.attemptFailed(failed, m_queue.now());
        if (const auto *retry = std::get_if<decisions::retry::RetryAfter>(&decision)) {
            incrementCounter(pending, &Measurement::retries, nullptr);
            m_queue.scheduleAfter(retry->delay, [this, id] { send(id); });
            return;
        }
        recordFailure(id);
    }

    void recordFailure(std::uint64_t id)
    {
        PendingRequest &pending = m_pendingRequests[id];
        incrementCounter(pending, &Measurement::failed, nullptr);
        recordTimeToFirstToken(pending, SimulationParameters::timeToDeadline);
        finish(id);
    }

    void refuse(std::uint64_t id)
    {
        incrementCounter(m_pendingRequests[id], &Measurement::refused, &Measurement::refusedToOthers);
        m_pendingRequests.erase(id);
    }

    void finish(std::uint64_t id)
    {
        m_pendingRequests.erase(id);
        m_admission.completed(decisions::admission::TicketId(id), m_queue.now());
        updateCapacity();
        admitQueued();
    }

    void admitQueued()
    {
        const auto dequeued = m_admission.dequeue(m_queue.now());
        for (const auto &refused : dequeued.refused) {
            refuse(refused.id.number());
        }
        for (const auto &ticket : dequeued.admitted) {
            m_retry.firstAttemptSent();
            m_pendingRequests[ticket.id.number()].isBeyondShare = ticket.isBeyondShare;
            send(ticket.id.number());
        }
    }

    std::size_t m_index;
    Selector m_selector;
    decisions::admission::AdmissionController m_admission;
    decisions::admission::ConcurrencyLimits m_limits;
    decisions::retry::RetryPolicy m_retry;
    EventQueue &m_queue;
    FakeCluster &m_cluster;
    Measurement &m_measurement;
    std::vector<core::VmId> m_vms;
    std::unordered_map<std::uint64_t, PendingRequest> m_pendingRequests;
    std::unordered_map<decisions::routing::AttemptId, Attempt> m_attempts;
    /// Starts at a random value, so that late events for an earlier incarnation of the entry match no attempt.
    std::uint64_t m_lastId;
};

} // namespace lycheelanding::bench::routing

#pragma once

#include "lycheelanding/configuration/configurationdocument.h"
#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/admission/concurrencylimits.h"
#include "lycheelanding/decisions/membership/backendmembership.h"
#include "lycheelanding/decisions/routing/backendselector.h"
#include "lycheelanding/services/vmlist.h"
#include "lycheelanding/wire/messages.h"

#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <unordered_set>
#include <vector>

namespace lycheelanding::daemon::entry {

/// What an operator sees of one backend server.
struct BackendStatus
{
    core::VmId vm;
    core::DataCentreId dataCentre;
    std::string state;
    bool isRoutable = false;
    std::size_t inFlight = 0;
    std::size_t limit = 0;
    std::uint32_t queued = 0;
    std::uint64_t outstandingTokens = 0;
    std::int64_t lastSeenMs = 0;
};

/// The backend servers as this entry knows them: membership, load, limits and the choice for each request.
class BackendTable
{
public:
    explicit BackendTable(std::uint64_t seed);

    void setConfiguration(const configuration::Document &document);
    void setVms(const std::vector<services::VmRow> &rows);
    void setLiveEntries(std::size_t entries);
    void heartbeat(const core::VmId &vm, core::Incarnation incarnation, const wire::Heartbeat &heartbeat);
    void linkLost(const core::VmId &vm);
    /// Looks for backend servers whose heartbeats have ceased.
    void tick();

    /// Chooses for the request and counts it as sent.
    core::Result<decisions::routing::Choice> chooseBackend(const decisions::routing::RouteRequest &request,
                                                           decisions::routing::AttemptId attempt);
    void firstToken(decisions::routing::AttemptId attempt, const core::VmId &vm, std::uint64_t promptTokens,
                    core::Duration latency);
    void tokenProgress(decisions::routing::AttemptId attempt);
    void requestEnded(decisions::routing::AttemptId attempt, const core::VmId &vm, decisions::routing::Outcome outcome);

    /// Requests that the available backend servers together may take from this entry; one, for a probe, when there are
    /// only unavailable ones.
    std::size_t capacity() const;
    std::vector<BackendStatus> statuses() const;

private:
    struct Member
    {
        core::DataCentreId dataCentre;
        wire::ServingState state = wire::ServingState::Stopped;
        bool isBackendReachable = false;
        core::Incarnation incarnation;
        core::TimePoint lastHeartbeat;
        /// Attempts under way at this incarnation.
        std::unordered_set<decisions::routing::AttemptId> attempts;
        std::uint32_t queued = 0;
        std::uint64_t outstandingTokens = 0;
    };

    void logRoutabilityChanges(const decisions::membership::MembershipActions &actions) const;
    /// The next update of the candidates starts the VM afresh.
    void resetVm(const core::VmId &vm, core::TimePoint now);
    void configureLimits();
    void updateCandidates(core::TimePoint now);
    std::vector<decisions::routing::BackendCandidate> configuredCandidates() const;

    core::SystemClock m_clock;
    mutable std::mutex m_mutex;
    configuration::Document m_document;
    std::size_t m_liveEntries = 1;
    decisions::membership::BackendMembership m_membership;
    std::map<core::VmId, Member> m_members;
    std::vector<core::VmId> m_routable;
    bool m_areCandidatesStale = false;
    decisions::routing::BackendSelector m_selector;
    decisions::admission::ConcurrencyLimits m_limits;
};

} // namespace lycheelanding::daemon::entry

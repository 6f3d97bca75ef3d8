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

/// State of one backend server, as the operator interface shows it.
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
    /// Milliseconds since the last heartbeat.
    std::int64_t lastSeenMs = 0;
};

/// The backend servers as seen by this entry: membership, load, concurrency limits and the selection for each request.
class BackendTable
{
public:
    explicit BackendTable(std::uint64_t seed);

    void setConfiguration(const configuration::Document &document);
    void setVms(const std::vector<services::VmRow> &rows);
    void setLiveEntries(std::size_t entries);
    void heartbeat(const core::VmId &vm, core::Incarnation incarnation, const wire::Heartbeat &heartbeat);
    void linkLost(const core::VmId &vm);
    /// Stops routing to backend servers whose heartbeats are missing. To be called at short intervals.
    void tick();

    /// Selects a backend server and counts the attempt as sent to it; requestEnded() must follow. Fails with Overloaded
    /// when all suitable backend servers are at their concurrency limit, with NoBackendServer when none is routable,
    /// and otherwise with the selector's error.
    core::Result<decisions::routing::Choice> chooseBackend(const decisions::routing::RouteRequest &request,
                                                           decisions::routing::AttemptId attempt);
    void firstToken(decisions::routing::AttemptId attempt, const core::VmId &vm, std::uint64_t promptTokens,
                    core::Duration latency);
    void tokenProgress(decisions::routing::AttemptId attempt);
    void requestEnded(decisions::routing::AttemptId attempt, const core::VmId &vm, decisions::routing::Outcome outcome);

    /// Sum of the concurrency limits of the available backend servers. If all routable ones are unavailable, 1, so that
    /// a request can probe one of them.
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
        /// Attempts in progress at this incarnation.
        std::unordered_set<decisions::routing::AttemptId> attempts;
        std::uint32_t queued = 0;
        std::uint64_t outstandingTokens = 0;
    };

    void logRoutabilityChanges(const decisions::membership::MembershipActions &actions) const;
    /// Discards the statistics of the VM and ends its attempts for the selector; the VM has a new incarnation.
    void resetVm(const core::VmId &vm, core::TimePoint now);
    void configureLimits();
    void updateCandidates(core::TimePoint now);
    std::vector<decisions::routing::BackendCandidate> configuredCandidates() const;
    /// Whether one of the configured candidates serves the request.
    bool isConfigured(const decisions::routing::RouteRequest &request) const;

    core::SystemClock m_clock;
    mutable std::mutex m_mutex;
    configuration::Document m_document;
    /// The candidates of the configuration, routable or not.
    std::vector<decisions::routing::BackendCandidate> m_configured;
    std::size_t m_liveEntries = 1;
    decisions::membership::BackendMembership m_membership;
    std::map<core::VmId, Member> m_members;
    std::vector<core::VmId> m_routable;
    bool m_areCandidatesStale = false;
    decisions::routing::BackendSelector m_selector;
    decisions::admission::ConcurrencyLimits m_limits;
};

} // namespace lycheelanding::daemon::entry

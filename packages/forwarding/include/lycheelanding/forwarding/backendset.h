#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/decisions/intake/backendintake.h"
#include "lycheelanding/decisions/intake/turnaways.h"
#include "lycheelanding/decisions/membership/backenddirectory.h"
#include "lycheelanding/decisions/membership/evacuateddatacentres.h"
#include "lycheelanding/decisions/routing/backendselector.h"
#include "lycheelanding/forwarding/forwardingconfiguration.h"
#include "lycheelanding/forwarding/passdurationmodel.h"
#include "lycheelanding/forwarding/waitlimits.h"

#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace lycheelanding::forwarding {

using decisions::membership::BackendId;
using decisions::membership::RegisteredBackend;
using decisions::routing::AttemptId;
using decisions::routing::Outcome;

/// Requirements of a request for the choice of its backend server.
struct BackendRequirements
{
    core::ServiceId service;
    /// Prompt and answer tokens; 1 for a plain service.
    std::uint64_t expectedTokens = 1;
    bool isIdempotent = false;
    /// Maximum interval between events that meets the route's target; 0 means no target.
    core::Duration maxEventInterval = core::Duration::zero();
    /// Also accepts engines whose passes take longer than maxEventInterval because of their load.
    bool acceptsSaturated = false;
    /// A cold backend server gets the request only if no other one accepts it.
    bool hasLittleTime = false;
    /// Backend servers to which the request was sent before; they are excluded.
    std::vector<BackendId> tried;
    /// For a stream to be resumed: the time for which the last of `tried` has sent no event. If its whole group has
    /// stalled, the other ranks of the group are excluded too.
    core::Duration inactivity = core::Duration::zero();
};

/// A selected backend server with the endpoint of its listening socket.
struct ChosenBackend
{
    BackendId id;
    /// Tells its incarnations apart.
    std::uint64_t startedAtMs = 0;
    asio::ip::tcp::endpoint endpoint;
    decisions::routing::Choice choice;
    /// It was cold when it was chosen, so that the request has taken a turn.
    bool isCold = false;
};

/// Load of a backend server that is a rank of a group.
struct BackendLoad
{
    core::GroupId group;
    /// Whether its group executes steps.
    bool isGroupStepping = true;
    /// Requests that wait at the engine.
    std::uint32_t waiting = 0;
    /// Requests that the engine executes.
    std::uint32_t running = 0;
    core::TimePoint measuredAt;
};

/// The backend servers that this entry may send to, with their last reported load.
class BackendSet
{
public:
    BackendSet(core::DataCentreId localDataCentre, std::uint64_t seed);

    /// Backend servers whose address is not an IPv4 address and a port are ignored.
    void apply(const decisions::membership::DirectoryChanges &changes, core::TimePoint now);
    /// Backend servers in evacuated data centres keep their load and health, and get no requests.
    void apply(const decisions::membership::EvacuationChanges &changes);
    bool isEvacuated(const RegisteredBackend &backend) const { return m_evacuated.contains(backend.dataCentre); }
    std::size_t evacuatedCount() const { return m_evacuated.size(); }
    /// The error of a request to a service all of whose backend servers are in evacuated data centres; nullopt for
    /// others.
    std::optional<core::Error> evacuationError(const core::ServiceId &service, std::string_view attemptName) const;
    /// The error of a request that no backend server takes within its waiting time, as evacuationError() or
    /// turnAwayError() says; nullopt for others.
    std::optional<core::Error> unservableError(const core::ServiceId &service, const WaitLimits &limits,
                                               std::string_view attemptName, core::TimePoint now) const;
    /// Models of the services whose backend servers belong to rank groups: a new backend server gets requests once its
    /// group is known to step, or after a timeout without a status update.
    void setModels(std::map<core::ServiceId, ModelShape> models);
    /// Backend servers of the other services are chosen by their response times, and their capacity is estimated from
    /// these.
    void enableAdaptiveCapacity();
    /// The VM of this entry was suspended.
    void suspended(core::TimePoint now) { m_selector.suspended(now); }
    const decisions::routing::CapacityEstimator &capacity() const { return m_selector.capacity(); }
    bool isAdaptive(const RegisteredBackend &backend) const
    {
        return m_isAdaptive && !m_models.contains(backend.service);
    }
    /// Services whose engines get only what can be served within the streams' target interval, also during the next
    /// peak of their pass duration; requests beyond that wait or are refused.
    void setInTimeServices(std::set<core::ServiceId> services) { m_inTimeServices = std::move(services); }
    bool admitsInTimeOnly(const core::ServiceId &service) const { return m_inTimeServices.contains(service); }
    /// Whether this limits the requests to a rank group of the service now.
    bool hasInTimeLimit(const core::ServiceId &service, core::Duration maxEventInterval, core::TimePoint now) const;
    /// Whether the first status update of a backend server of such a service is still awaited.
    bool isAwaitingStatus(const RegisteredBackend &backend, core::TimePoint now) const;
    /// Whether the side of a backend server has sent status updates, but not recently: its VM may be gone or suspended.
    /// Also true for an unknown backend server.
    bool isUnresponsive(const BackendId &id, core::TimePoint now) const;
    /// Stores the reported load of a backend server that belongs to a rank group.
    void updateBackendLoad(const BackendId &id, const BackendLoad &load, core::TimePoint now);
    /// Sets the position of this entry among those that send to the same backend servers.
    void setPosition(const decisions::membership::EntryPosition &position, core::TimePoint now);

    /// Selects a backend server and counts the attempt as sent to it. Fails with NoBackendServer, also while all
    /// backend servers are saturated, back off after a refusal, or belong to groups that do not step.
    core::Result<ChosenBackend> selectBackend(const BackendRequirements &request, AttemptId attempt,
                                              core::TimePoint now);
    /// The request is written to its connection.
    void recordWritten(AttemptId attempt, core::TimePoint now) { m_selector.requestWritten(attempt, now); }
    /// The head of the answer has arrived, whatever its status.
    void recordAnswerHead(AttemptId attempt, core::TimePoint now) { m_selector.answerBegan(attempt, now); }
    void recordFirstEvent(AttemptId attempt, std::uint64_t promptTokens, core::TimePoint now);
    /// Records a further event of a stream, `interval` after the one before.
    void recordNextEvent(AttemptId attempt, core::Duration interval, core::TimePoint now);
    void recordAttemptEnd(AttemptId attempt, Outcome outcome, core::TimePoint now);

    /// What backend servers say about the requests that they take.
    decisions::intake::BackendIntake &intake() { return m_intake; }
    const decisions::intake::BackendIntake &intake() const { return m_intake; }

    /// Returns whether this begins a pause.
    bool recordTurnedAway(const decisions::intake::TurnAway &turnAway, core::TimePoint now);
    /// The pause that this incarnation of a backend server has asked for, whether it is registered or not.
    std::optional<decisions::intake::Pause> pauseOf(const BackendId &id, std::uint64_t startedAtMs,
                                                    core::TimePoint now) const
    {
        return m_turnAways.pauseOf(id, startedAtMs, now);
    }
    /// Whether a request may still be sent to the backend server that was chosen for it some time before.
    bool isStillUsable(const ChosenBackend &chosen, core::TimePoint now) const
    {
        const auto found = m_backends.find(chosen.id);
        const bool needsTurn = !chosen.isCold && m_intake.isCold(chosen.id, now);
        return found != m_backends.end() && !isEvacuated(found->second) && !needsTurn
            && !pauseOf(chosen.id, chosen.startedAtMs, now);
    }
    /// The earliest time at which a backend server of the service takes requests again; nullopt unless all of them have
    /// turned this entry away.
    std::optional<core::TimePoint> turnedAwayUntil(const core::ServiceId &service, core::TimePoint now) const;
    /// The error of a request that need not wait, as all backend servers have turned this entry away until after
    /// its wait deadline; nullopt for others.
    std::optional<core::Error> turnAwayError(const core::ServiceId &service, const WaitLimits &limits,
                                             std::string_view attemptName, core::TimePoint now) const;

    /// The error of a new request that need not wait behind `waiting` others, as all backend servers of the service
    /// state limits and these allow too few requests in its time; nullopt for others. Where all of them do, the
    /// requests that may wait are not overtaken: `limits` is changed so that they do not become late.
    std::optional<core::Error> limitError(const core::ServiceId &service, std::size_t waiting, WaitLimits &limits,
                                          std::string_view attemptName, core::TimePoint now) const;

    std::optional<RegisteredBackend> find(const BackendId &id) const;
    const std::map<BackendId, RegisteredBackend> &all() const { return m_backends; }
    /// Whether a usable backend server has this endpoint.
    bool isInUse(const asio::ip::tcp::endpoint &endpoint) const;

private:
    struct BackendState
    {
        std::optional<BackendLoad> load;
        /// After a refusal it gets no requests until then.
        core::TimePoint backoffUntil;
        core::TimePoint addedAt;
    };

    struct AbsentBackend
    {
        std::uint64_t startedAtMs = 0;
        core::TimePoint since;
    };

    static bool hasRecentStatus(const BackendState &state, core::TimePoint now);
    void updateCandidates();
    void forgetLimits(core::TimePoint now);
    /// Sends nothing to the backend server for the rest of the pause that it has asked for.
    void resumePause(const RegisteredBackend &backend, core::TimePoint now);
    bool canAccept(const RegisteredBackend &backend, const BackendRequirements &request, core::TimePoint now) const;
    /// Number of requests that may be in progress at the backend server.
    double capacityOf(const RegisteredBackend &backend, const BackendLoad &load, const BackendRequirements &request,
                      core::TimePoint now) const;
    /// Mean number of requests that the ranks of the group may run within the target interval, also during peaks of the
    /// pass duration, and at least half of the slots; nullopt if there is no target or no recent event.
    std::optional<double> inTimeCapacityOf(const RegisteredBackend &backend, const core::GroupId &group,
                                           core::Duration maxEventInterval, core::TimePoint now) const;
    /// Groups of the service whose ranks run as many requests on average as they can in time, by recent status updates.
    std::set<core::GroupId> fullGroups(const BackendRequirements &request, core::TimePoint now) const;
    /// The same for requests of this entry at a backend server of whose load nothing is reported.
    double ownCapacityOf(const RegisteredBackend &backend, core::TimePoint now) const;
    /// Empty while it is unknown.
    core::GroupId groupOf(const BackendId &id) const;
    void recordGroupEvent(AttemptId attempt, core::TimePoint now);
    /// The group of the last tried backend server if it has stalled; otherwise empty.
    core::GroupId stalledGroup(const BackendRequirements &request, core::TimePoint now) const;
    double meanRunning(const core::GroupId &group, core::TimePoint now) const;

    const core::DataCentreId m_localDataCentre;
    std::size_t m_entries = 1;
    bool m_isAdaptive = false;
    std::set<core::ServiceId> m_inTimeServices;
    std::map<BackendId, RegisteredBackend> m_backends;
    std::set<core::DataCentreId> m_evacuated;
    std::map<BackendId, asio::ip::tcp::endpoint> m_endpoints;
    std::map<BackendId, BackendState> m_states;
    std::map<core::ServiceId, ModelShape> m_models;
    std::map<core::GroupId, PassDurationModel> m_passModels;
    /// Last event of any stream at a rank of the group.
    std::map<core::GroupId, core::TimePoint> m_groupEvents;
    std::map<AttemptId, BackendId> m_attempts;
    decisions::routing::BackendSelector m_selector;
    decisions::intake::BackendIntake m_intake;
    /// Backend servers that state a limit, and whose registrations are away: they may come back.
    std::map<BackendId, AbsentBackend> m_limitsOfAbsent;
    decisions::intake::TurnAways m_turnAways;
};

/// The name of a backend server in a BackendSelector.
core::VmId selectorId(const BackendId &id);

/// Parses an endpoint of the form `IPv4 address:port`.
std::optional<asio::ip::tcp::endpoint> endpointFrom(std::string_view text);

} // namespace lycheelanding::forwarding

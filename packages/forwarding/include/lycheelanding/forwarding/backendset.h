#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/decisions/membership/backenddirectory.h"
#include "lycheelanding/decisions/routing/backendselector.h"
#include "lycheelanding/forwarding/forwardingconfiguration.h"
#include "lycheelanding/forwarding/passdurationmodel.h"

#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lycheelanding::forwarding {

using decisions::membership::BackendId;
using decisions::membership::RegisteredBackend;
using decisions::routing::AttemptId;
using decisions::routing::Outcome;

/// What a request asks of a backend server.
struct BackendRequirements
{
    core::ServiceId service;
    /// Prompt and answer tokens; 1 for a plain service.
    std::uint64_t expectedTokens = 1;
    bool isIdempotent = false;
    /// Longest pause between events with which a stream is served well; 0 sets none.
    core::Duration maxEventInterval = core::Duration::zero();
    /// Also to engines that run so much that their passes take longer than that.
    bool acceptsSaturated = false;
    /// Backend servers that the request was sent to before.
    std::vector<BackendId> tried;
};

/// A backend server with the place of its listening socket.
struct ChosenBackend
{
    BackendId id;
    asio::ip::tcp::endpoint endpoint;
    decisions::routing::Choice choice;
};

/// Load of a backend server that belongs to a rank group.
struct RankLoad
{
    core::GroupId group;
    /// Whether its group steps.
    bool isGroupStepping = true;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    core::TimePoint measuredAt;
};

/// The backend servers that this entry may send to, with the load that it knows of.
class BackendSet
{
public:
    BackendSet(core::DataCentreId ownDataCentre, std::uint64_t seed);

    /// Entries with an address that is not an IP number and a port count as unusable.
    void apply(const decisions::membership::DirectoryChanges &changes, core::TimePoint now);
    /// Models of the services whose backend servers belong to rank groups: a new one gets work when its group is known
    /// to step, or after a short time without news of it.
    void setModels(std::map<core::ServiceId, ModelShape> models) { m_models = std::move(models); }
    /// Whether news of a backend server of such a service are still awaited.
    bool isAwaitingStatus(const RegisteredBackend &backend, core::TimePoint now) const;
    /// Whether the side beside a backend server has told of it, but not for some time: its VM may be gone or stand
    /// still.
    bool isUnresponsive(const BackendId &id, core::TimePoint now) const;
    /// News of a backend server that belongs to a rank group.
    void updateRankLoad(const BackendId &id, const RankLoad &load, core::TimePoint now);
    void setLiveEntries(std::size_t entries) { m_selector.setLiveEntries(entries); }

    /// Chooses and counts the attempt; fails with NoBackendServer, also while all are full, rest after a refusal, or
    /// belong to groups that do not step.
    core::Result<ChosenBackend> selectBackend(const BackendRequirements &request, AttemptId attempt,
                                              core::TimePoint now);
    void recordFirstEvent(AttemptId attempt, std::uint64_t promptTokens, core::TimePoint now);
    /// A further event of a stream.
    void recordNextEvent(AttemptId attempt, core::Duration pause, core::TimePoint now);
    void recordAttemptEnd(AttemptId attempt, Outcome outcome, core::TimePoint now);

    std::optional<RegisteredBackend> find(const BackendId &id) const;
    const std::map<BackendId, RegisteredBackend> &all() const { return m_backends; }
    /// Whether the address is that of a backend server in use.
    bool isInUse(const asio::ip::tcp::endpoint &endpoint) const;

private:
    struct BackendState
    {
        std::optional<RankLoad> load;
        /// It has refused a request: until when it gets none.
        core::TimePoint backoffUntil;
        core::TimePoint addedAt;
    };

    void updateCandidates();
    bool canAccept(const RegisteredBackend &backend, const BackendRequirements &request, core::TimePoint now) const;
    /// Requests that the backend server may run.
    double capacityOf(const RegisteredBackend &backend, const RankLoad &load, const BackendRequirements &request,
                      core::TimePoint now) const;
    double meanRunning(const core::GroupId &group, core::TimePoint now) const;

    const core::DataCentreId m_localDataCentre;
    std::map<BackendId, RegisteredBackend> m_backends;
    std::map<BackendId, asio::ip::tcp::endpoint> m_endpoints;
    std::map<BackendId, BackendState> m_states;
    std::map<core::ServiceId, ModelShape> m_models;
    std::map<core::GroupId, PassDurationModel> m_passDurations;
    std::map<AttemptId, BackendId> m_attempts;
    decisions::routing::BackendSelector m_selector;
};

/// The endpoint written as IP number, colon and port.
std::optional<asio::ip::tcp::endpoint> endpointFrom(std::string_view text);

} // namespace lycheelanding::forwarding

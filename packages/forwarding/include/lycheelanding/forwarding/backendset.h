#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/decisions/membership/backenddirectory.h"
#include "lycheelanding/decisions/routing/backendselector.h"

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
struct BackendRequest
{
    core::ServiceId service;
    std::uint64_t promptTokens = 0;
    /// Prompt and answer tokens; 1 for a plain service.
    std::uint64_t expectedTokens = 1;
    bool isIdempotent = false;
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

/// The backend servers that this entry may send to, with the load that it knows of.
class BackendSet
{
public:
    BackendSet(core::DataCentreId ownDataCentre, std::uint64_t seed);

    /// Entries with an address that is not an IP number and a port count as unusable.
    void apply(const decisions::membership::DirectoryChanges &changes);
    void reportLoad(const BackendId &id, const decisions::routing::LoadReport &report);
    void setLiveEntries(std::size_t entries) { m_selector.setLiveEntries(entries); }

    /// Chooses and counts the attempt; fails with NoBackendServer.
    core::Result<ChosenBackend> chooseAndSend(const BackendRequest &request, AttemptId attempt, core::TimePoint now);
    void firstEvent(AttemptId attempt, std::uint64_t promptTokens, core::TimePoint now);
    void ended(AttemptId attempt, Outcome outcome, core::TimePoint now);

    std::optional<RegisteredBackend> find(const BackendId &id) const;
    const std::map<BackendId, RegisteredBackend> &all() const { return m_backends; }
    /// Whether the address is that of a backend server in use.
    bool isUsed(const asio::ip::tcp::endpoint &endpoint) const;

private:
    void updateCandidates();

    const core::DataCentreId m_ownDataCentre;
    std::map<BackendId, RegisteredBackend> m_backends;
    std::map<BackendId, asio::ip::tcp::endpoint> m_endpoints;
    decisions::routing::BackendSelector m_selector;
};

/// The endpoint written as IP number, colon and port.
std::optional<asio::ip::tcp::endpoint> endpointFrom(std::string_view text);

} // namespace lycheelanding::forwarding

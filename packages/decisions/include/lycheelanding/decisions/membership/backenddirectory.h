#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheelanding::decisions::membership {

/// One life of a backend server, by the name under which it registers itself.
using BackendId = core::TextId<struct BackendTag>;

/// What a backend server says of itself in the platform's registry.
struct RegisteredBackend
{
    BackendId id;
    core::ServiceId service;
    /// IP number and port.
    std::string address;
    core::DataCentreId dataCentre;
    /// Requests that it runs at a time; 0 where it does not say.
    std::size_t slots = 0;
    bool isDraining = false;
    /// Grows with each registration at the registry: of two at one address the later one counts.
    std::uint64_t revision = 0;

    bool operator==(const RegisteredBackend &) const = default;
};

struct DirectorySettings
{
    /// Registrations that lapsed while the registry was away return within about two seconds of it, by the platform's
    /// word; one that is still missing after that belongs to a backend server that is gone.
    core::Duration reregistrationTimeout = std::chrono::milliseconds(2500);
};

enum class DirectoryReason : std::uint8_t {
    Registered,
    Draining,
    Removed,
    /// The registration lapsed during an outage of the registry and did not return.
    Lapsed,
    Unreadable,
    /// A later registration has the address.
    Replaced,
};

std::string_view nameOf(DirectoryReason reason);

/// New work may go to the backend server, as it is registered now.
struct BackendUsable
{
    RegisteredBackend backend;
};
struct BackendUnusable
{
    BackendId id;
    DirectoryReason reason = DirectoryReason::Removed;
};
using DirectoryChange = std::variant<BackendUsable, BackendUnusable>;
using DirectoryChanges = std::vector<DirectoryChange>;

/// Which backend servers may get new work, by a registry that lags, has outages and holds entries of other writers.
/// A registration that says "draining", or that is removed while the registry is up, ends new work at once; so does a
/// later one at the same address, since a restarted backend server gets a new name and its old one lapses late.
class BackendDirectory
{
public:
    explicit BackendDirectory(const DirectorySettings &settings) : m_settings(settings) { }

    /// All registrations that can be read.
    DirectoryChanges listed(const std::vector<RegisteredBackend> &backends, core::TimePoint now);
    DirectoryChanges registered(const RegisteredBackend &backend, core::TimePoint now);
    /// The entry under `id` names no backend server any more.
    DirectoryChanges unreadable(const BackendId &id);
    DirectoryChanges removed(const BackendId &id, core::TimePoint now);
    void registryLost();
    void registryRegained(core::TimePoint now);
    DirectoryChanges tick(core::TimePoint now);

    std::size_t usableCount() const;

private:
    struct Member
    {
        RegisteredBackend backend;
        /// Missing since the registry's return: until when it may come back.
        std::optional<core::TimePoint> reregistrationDeadline = std::nullopt;
    };

    bool isAwaitingReregistrations(core::TimePoint now) const;
    void applyRegistration(const RegisteredBackend &backend, DirectoryChanges &changes);
    /// Ends what is registered at the same address; false when that is the later registration.
    bool replaceAtAddress(const RegisteredBackend &backend, DirectoryChanges &changes);
    void markMissing(const BackendId &id, core::TimePoint now, DirectoryChanges &changes);
    void removeMember(const BackendId &id, DirectoryReason reason, DirectoryChanges &changes);

    const DirectorySettings m_settings;
    std::map<BackendId, Member> m_members;
    bool m_isRegistryLost = false;
    std::optional<core::TimePoint> m_registryRegainedAt;
};

} // namespace lycheelanding::decisions::membership

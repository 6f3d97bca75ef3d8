#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheelanding::decisions::membership {

/// One incarnation of a backend server, by the name under which it registers itself.
using BackendId = core::TextId<struct BackendTag>;

/// Registration of a backend server in the platform's registry.
struct RegisteredBackend
{
    BackendId id;
    core::ServiceId service;
    /// IP address and port.
    std::string address;
    core::DataCentreId dataCentre;
    /// Requests that it runs concurrently; 0 if not stated.
    std::size_t slots = 0;
    bool isDraining = false;
    /// Grows with each registration at the registry: of two at one address the later one is valid.
    std::uint64_t revision = 0;
    /// When the backend server started, in ms since the Unix epoch by its own clock; 0 if not stated.
    std::uint64_t startedAtMs = 0;

    bool operator==(const RegisteredBackend &) const = default;
};

struct DirectorySettings
{
    /// The platform specifies that registrations that lapsed during an outage of the registry are renewed within about
    /// two seconds of its return. A backend server still missing after that no longer exists.
    core::Duration reregistrationTimeout = std::chrono::milliseconds(2500);
    /// Backend servers renew their registrations at this interval.
    core::Duration heartbeatInterval = std::chrono::milliseconds(1200);
    /// How long after the registry may have returned a missing registration can still count as lapsed. An entry that
    /// was undisturbed for this long has to know which backend servers have left.
    core::Duration undisturbedTime = std::chrono::milliseconds(3000);
    /// How long a backend server that has left is remembered, as the registry may come back from a copy that lists it.
    core::Duration departedTimeToLive = std::chrono::minutes(2);
};

enum class DirectoryReason : std::uint8_t {
    Registered,
    Draining,
    Removed,
    /// The registration lapsed during an outage of the registry and did not return.
    Lapsed,
    Unreadable,
    /// A later registration uses the same address.
    Replaced,
    /// It has said in an answer that it leaves.
    Leaving,
    /// No service has the name in its registration.
    UnknownService,
};

std::string_view nameOf(DirectoryReason reason);

/// A time without answers of the registry.
struct RegistryOutage
{
    /// Last answer before it.
    core::TimePoint lastContact;
    /// The registry may have been available again from then on, although no answer arrived yet.
    core::TimePoint earliestReturn;
};

/// New work may go to the backend server, with this registration.
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

/// Determines which backend servers may get new work, from a registry that lags, has outages and holds keys of other
/// writers. A backend server gets no new work once its registration says "draining" or is removed while the registry is
/// up, or once a later registration has the same address: a restarted backend server gets a new name, and its old
/// registration lapses late.
class BackendDirectory
{
public:
    explicit BackendDirectory(const DirectorySettings &settings) : m_settings(settings) { }

    /// All readable registrations of the registry.
    DirectoryChanges listed(const std::vector<RegisteredBackend> &backends, core::TimePoint now);
    DirectoryChanges registered(const RegisteredBackend &backend, core::TimePoint now);
    /// The services that exist; none are known before the first call. A registration for another one names no backend
    /// server until its service exists.
    DirectoryChanges servicesChanged(std::set<core::ServiceId> services, core::TimePoint now);
    /// The key of `id` no longer holds a readable registration.
    DirectoryChanges unreadable(const BackendId &id, core::TimePoint now);
    DirectoryChanges removed(const BackendId &id, core::TimePoint now);
    /// The backend server has said in an answer that it leaves. It gets no new work until a new incarnation registers.
    DirectoryChanges leaving(const BackendId &id, core::TimePoint now);
    /// The registry answers again. Registrations that lapsed during a long outage may return for some time.
    void registryRegained(const RegistryOutage &outage, core::TimePoint now);
    /// The registry has come back from an older copy. It may list backend servers that have left, and lack some that
    /// are there until they register again.
    void registryRestored(core::TimePoint now);
    DirectoryChanges tick(core::TimePoint now);

    std::size_t usableCount() const;

private:
    struct Member
    {
        RegisteredBackend backend;
        /// Set while the registration is missing after an outage: when it counts as lapsed.
        std::optional<core::TimePoint> reregistrationDeadline = std::nullopt;
    };

    /// A backend server that gets no new work any more.
    struct Departed
    {
        std::uint64_t startedAtMs = 0;
        bool wasDraining = false;
        bool hasSaidItLeaves = false;
        core::TimePoint at;
        /// The registry was restored since, so that its registration may be an old one.
        bool isDoubtful = false;
    };

    bool isServiceKnown(const RegisteredBackend &backend) const;
    bool isAwaitingReregistrations(core::TimePoint now) const;
    /// Whether the registration is one of a backend server that has left. `isWritten`: it was written just now, not
    /// read from the restored copy.
    bool isOfDeparted(const RegisteredBackend &backend, bool isWritten) const;
    void forgetDeparted(core::TimePoint now);
    void applyRegistration(const RegisteredBackend &backend, bool isWritten, core::TimePoint now,
                           DirectoryChanges &changes);
    /// Removes earlier registrations at the same address; false, and `backend` removed, when a later one exists.
    bool replaceAtAddress(const RegisteredBackend &backend, core::TimePoint now, DirectoryChanges &changes);
    void markMissing(const BackendId &id, core::TimePoint now, DirectoryChanges &changes);
    void removeMember(const BackendId &id, DirectoryReason reason, core::TimePoint now, DirectoryChanges &changes);

    const DirectorySettings m_settings;
    std::optional<std::set<core::ServiceId>> m_services;
    std::map<BackendId, Member> m_members;
    /// Registrations for services that do not exist.
    std::map<BackendId, RegisteredBackend> m_ofUnknownServices;
    std::map<BackendId, Departed> m_departed;
    /// Until then a missing registration may have lapsed during an outage of the registry.
    std::optional<core::TimePoint> m_reregistrationEnd;
};

} // namespace lycheelanding::decisions::membership

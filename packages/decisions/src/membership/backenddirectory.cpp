#include "lycheelanding/decisions/membership/backenddirectory.h"

#include "lycheelanding/core/nametable.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace lycheelanding::decisions::membership {

namespace {

constexpr std::array<core::NameEntry<DirectoryReason>, 8> reasonNames{{
    {DirectoryReason::Registered, "registered"},
    {DirectoryReason::Draining, "draining"},
    {DirectoryReason::Removed, "removed"},
    {DirectoryReason::Lapsed, "lapsed"},
    {DirectoryReason::Unreadable, "unreadable"},
    {DirectoryReason::Replaced, "replaced"},
    {DirectoryReason::Leaving, "leaving"},
    {DirectoryReason::UnknownService, "unknownService"},
}};

/// Whether `known` registered at its address after `other`, which names the same one.
bool isLaterAtAddress(const RegisteredBackend &known, const RegisteredBackend &other)
{
    const bool haveStarts = known.startedAtMs > 0 && other.startedAtMs > 0 && known.startedAtMs != other.startedAtMs;
    return haveStarts ? known.startedAtMs > other.startedAtMs : known.revision > other.revision;
}

} // namespace

std::string_view nameOf(DirectoryReason reason)
{
    return core::nameIn(reasonNames, reason);
}

DirectoryChanges BackendDirectory::listed(const std::vector<RegisteredBackend> &backends, core::TimePoint now)
{
    DirectoryChanges changes;
    m_ofUnknownServices.clear();
    std::set<BackendId> present;
    for (const auto &backend : backends) {
        present.insert(backend.id);
        applyRegistration(backend, false, now, changes);
    }
    std::vector<BackendId> missing;
    for (const auto &[id, member] : m_members) {
        if (!present.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const auto &id : missing) {
        markMissing(id, now, changes);
    }
    return changes;
}

DirectoryChanges BackendDirectory::registered(const RegisteredBackend &backend, core::TimePoint now)
{
    DirectoryChanges changes;
    applyRegistration(backend, true, now, changes);
    return changes;
}

DirectoryChanges BackendDirectory::servicesChanged(std::set<core::ServiceId> services, core::TimePoint now)
{
    DirectoryChanges changes;
    m_services = std::move(services);
    std::vector<RegisteredBackend> waiting;
    for (const auto &[id, backend] : m_ofUnknownServices) {
        waiting.push_back(backend);
    }
    for (const auto &[id, member] : m_members) {
        waiting.push_back(member.backend);
    }
    for (const auto &backend : waiting) {
        if (isServiceKnown(backend) != m_members.contains(backend.id)) {
            applyRegistration(backend, false, now, changes);
        }
    }
    return changes;
}

DirectoryChanges BackendDirectory::unreadable(const BackendId &id, core::TimePoint now)
{
    DirectoryChanges changes;
    m_ofUnknownServices.erase(id);
    removeMember(id, DirectoryReason::Unreadable, now, changes);
    return changes;
}

DirectoryChanges BackendDirectory::removed(const BackendId &id, core::TimePoint now)
{
    DirectoryChanges changes;
    m_ofUnknownServices.erase(id);
    markMissing(id, now, changes);
    return changes;
}

DirectoryChanges BackendDirectory::leaving(const BackendId &id, core::TimePoint now)
{
    DirectoryChanges changes;
    removeMember(id, DirectoryReason::Leaving, now, changes);
    return changes;
}

void BackendDirectory::registryRegained(const RegistryOutage &outage, core::TimePoint now)
{
    // Registrations lapse after three heartbeat intervals of silence, and the last heartbeat is at most one interval
    // old when the registry goes away. In a shorter time without answers, such as that of a watch that was cut, none
    // lapses.
    constexpr int intervalsOfShortestLapse = 2;
    if (now - outage.lastContact < intervalsOfShortestLapse * m_settings.heartbeatInterval) {
        return;
    }
    m_reregistrationEnd
        = std::min(now + m_settings.reregistrationTimeout, outage.earliestReturn + m_settings.undisturbedTime);
}

void BackendDirectory::registryRestored(core::TimePoint now)
{
    m_reregistrationEnd = now + m_settings.reregistrationTimeout;
    for (auto &item : m_members) {
        // Revisions are compared within an era only.
        item.second.backend.revision = 0;
    }
    for (auto &item : m_departed) {
        item.second.isDoubtful = true;
    }
}

DirectoryChanges BackendDirectory::tick(core::TimePoint now)
{
    DirectoryChanges changes;
    forgetDeparted(now);
    std::vector<BackendId> gone;
    for (const auto &[id, member] : m_members) {
        if (member.reregistrationDeadline && now >= *member.reregistrationDeadline) {
            gone.push_back(id);
        }
    }
    for (const auto &id : gone) {
        removeMember(id, DirectoryReason::Lapsed, now, changes);
    }
    return changes;
}

std::size_t BackendDirectory::usableCount() const
{
    return m_members.size();
}

bool BackendDirectory::isServiceKnown(const RegisteredBackend &backend) const
{
    return !m_services || m_services->contains(backend.service);
}

bool BackendDirectory::isAwaitingReregistrations(core::TimePoint now) const
{
    return m_reregistrationEnd && now < *m_reregistrationEnd;
}

bool BackendDirectory::isOfDeparted(const RegisteredBackend &backend, bool isWritten) const
{
    const auto found = m_departed.find(backend.id);
    if (found == m_departed.end() || (!found->second.isDoubtful && !found->second.hasSaidItLeaves)) {
        return false;
    }
    if (backend.startedAtMs > found->second.startedAtMs && found->second.startedAtMs > 0) {
        return false;
    }
    // A server that was only missing is back when it writes; one that drains does not become ready again.
    return found->second.wasDraining || found->second.hasSaidItLeaves || !isWritten;
}

void BackendDirectory::forgetDeparted(core::TimePoint now)
{
    std::erase_if(m_departed, [&](const auto &item) { return now - item.second.at >= m_settings.departedTimeToLive; });
}

void BackendDirectory::applyRegistration(const RegisteredBackend &backend, bool isWritten, core::TimePoint now,
                                         DirectoryChanges &changes)
{
    m_ofUnknownServices.erase(backend.id);
    if (!isServiceKnown(backend)) {
        m_ofUnknownServices.insert_or_assign(backend.id, backend);
        removeMember(backend.id, DirectoryReason::UnknownService, now, changes);
        return;
    }
    if (backend.isDraining) {
        removeMember(backend.id, DirectoryReason::Draining, now, changes);
        auto &departed = m_departed[backend.id];
        departed = {backend.startedAtMs, true, departed.hasSaidItLeaves, now, false};
        return;
    }
    if (isOfDeparted(backend, isWritten)) {
        // It is remembered for as long as it registers.
        m_departed[backend.id].at = now;
        return;
    }
    if (!replaceAtAddress(backend, now, changes)) {
        return;
    }
    m_departed.erase(backend.id);
    const auto known = m_members.find(backend.id);
    const bool isKnown = known != m_members.end();
    if (isKnown) {
        // The revision grows whenever the backend server renews its registration; only other changes are reported.
        known->second.backend.revision = backend.revision;
        known->second.reregistrationDeadline.reset();
    }
    if (isKnown && known->second.backend == backend) {
        return;
    }
    m_members[backend.id] = {backend};
    changes.emplace_back(BackendUsable{backend});
}

bool BackendDirectory::replaceAtAddress(const RegisteredBackend &backend, core::TimePoint now,
                                        DirectoryChanges &changes)
{
    std::vector<BackendId> earlier;
    for (const auto &[id, member] : m_members) {
        if (id == backend.id || member.backend.address != backend.address) {
            continue;
        }
        if (isLaterAtAddress(member.backend, backend)) {
            removeMember(backend.id, DirectoryReason::Replaced, now, changes);
            return false;
        }
        earlier.push_back(id);
    }
    for (const auto &id : earlier) {
        removeMember(id, DirectoryReason::Replaced, now, changes);
    }
    return true;
}

void BackendDirectory::markMissing(const BackendId &id, core::TimePoint now, DirectoryChanges &changes)
{
    const auto known = m_members.find(id);
    if (known == m_members.end()) {
        return;
    }
    if (!isAwaitingReregistrations(now)) {
        removeMember(id, DirectoryReason::Removed, now, changes);
        return;
    }
    if (!known->second.reregistrationDeadline) {
        known->second.reregistrationDeadline = m_reregistrationEnd;
    }
}

void BackendDirectory::removeMember(const BackendId &id, DirectoryReason reason, core::TimePoint now,
                                    DirectoryChanges &changes)
{
    const auto found = m_members.find(id);
    if (found == m_members.end()) {
        return;
    }
    m_departed.insert_or_assign(id,
                                Departed{found->second.backend.startedAtMs, reason == DirectoryReason::Draining,
                                         reason == DirectoryReason::Leaving, now, false});
    m_members.erase(found);
    changes.emplace_back(BackendUnusable{id, reason});
}

} // namespace lycheelanding::decisions::membership

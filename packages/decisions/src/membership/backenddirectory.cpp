#include "lycheelanding/decisions/membership/backenddirectory.h"

#include "lycheelanding/core/nametable.h"

#include <algorithm>
#include <array>
#include <set>

namespace lycheelanding::decisions::membership {

namespace {

constexpr std::array<core::NameEntry<DirectoryReason>, 6> reasonNames{{
    {DirectoryReason::Registered, "registered"},
    {DirectoryReason::Draining, "draining"},
    {DirectoryReason::Removed, "removed"},
    {DirectoryReason::Lapsed, "lapsed"},
    {DirectoryReason::Unreadable, "unreadable"},
    {DirectoryReason::Replaced, "replaced"},
}};

} // namespace

std::string_view nameOf(DirectoryReason reason)
{
    return core::nameIn(reasonNames, reason);
}

DirectoryChanges BackendDirectory::listed(const std::vector<RegisteredBackend> &backends, core::TimePoint now)
{
    DirectoryChanges changes;
    std::set<BackendId> present;
    for (const auto &backend : backends) {
        present.insert(backend.id);
        applyRegistration(backend, changes);
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

DirectoryChanges BackendDirectory::registered(const RegisteredBackend &backend, core::TimePoint)
{
    DirectoryChanges changes;
    applyRegistration(backend, changes);
    return changes;
}

DirectoryChanges BackendDirectory::unreadable(const BackendId &id)
{
    DirectoryChanges changes;
    removeMember(id, DirectoryReason::Unreadable, changes);
    return changes;
}

DirectoryChanges BackendDirectory::removed(const BackendId &id, core::TimePoint now)
{
    DirectoryChanges changes;
    markMissing(id, now, changes);
    return changes;
}

void BackendDirectory::registryLost()
{
    m_isRegistryLost = true;
}

void BackendDirectory::registryRegained(core::TimePoint now)
{
    if (m_isRegistryLost) {
        m_isRegistryLost = false;
        m_registryRegainedAt = now;
    }
}

DirectoryChanges BackendDirectory::tick(core::TimePoint now)
{
    DirectoryChanges changes;
    std::vector<BackendId> gone;
    for (const auto &[id, member] : m_members) {
        if (member.reregistrationDeadline && now >= *member.reregistrationDeadline) {
            gone.push_back(id);
        }
    }
    for (const auto &id : gone) {
        removeMember(id, DirectoryReason::Lapsed, changes);
    }
    return changes;
}

std::size_t BackendDirectory::usableCount() const
{
    return m_members.size();
}

bool BackendDirectory::isAwaitingReregistrations(core::TimePoint now) const
{
    return m_registryRegainedAt && now < *m_registryRegainedAt + m_settings.reregistrationTimeout;
}

void BackendDirectory::applyRegistration(const RegisteredBackend &backend, DirectoryChanges &changes)
{
    if (backend.isDraining) {
        removeMember(backend.id, DirectoryReason::Draining, changes);
        return;
    }
    if (!replaceAtAddress(backend, changes)) {
        return;
    }
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

bool BackendDirectory::replaceAtAddress(const RegisteredBackend &backend, DirectoryChanges &changes)
{
    std::vector<BackendId> earlier;
    for (const auto &[id, member] : m_members) {
        if (id == backend.id || member.backend.address != backend.address) {
            continue;
        }
        if (member.backend.revision > backend.revision) {
            removeMember(backend.id, DirectoryReason::Replaced, changes);
            return false;
        }
        earlier.push_back(id);
    }
    for (const auto &id : earlier) {
        removeMember(id, DirectoryReason::Replaced, changes);
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
        removeMember(id, DirectoryReason::Removed, changes);
        return;
    }
    if (!known->second.reregistrationDeadline) {
        known->second.reregistrationDeadline = *m_registryRegainedAt + m_settings.reregistrationTimeout;
    }
}

void BackendDirectory::removeMember(const BackendId &id, DirectoryReason reason, DirectoryChanges &changes)
{
    if (m_members.erase(id) > 0) {
        changes.emplace_back(BackendUnusable{id, reason});
    }
}

} // namespace lycheelanding::decisions::membership

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
        take(backend, changes);
    }
    std::vector<BackendId> missing;
    for (const auto &[id, member] : m_members) {
        if (!present.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const auto &id : missing) {
        miss(id, now, changes);
    }
    return changes;
}

DirectoryChanges BackendDirectory::registered(const RegisteredBackend &backend, core::TimePoint)
{
    DirectoryChanges changes;
    take(backend, changes);
    return changes;
}

DirectoryChanges BackendDirectory::unreadable(const BackendId &id)
{
    DirectoryChanges changes;
    drop(id, DirectoryReason::Unreadable, changes);
    return changes;
}

DirectoryChanges BackendDirectory::removed(const BackendId &id, core::TimePoint now)
{
    DirectoryChanges changes;
    miss(id, now, changes);
    return changes;
}

void BackendDirectory::registryLost()
{
    m_isLost = true;
}

void BackendDirectory::registryRegained(core::TimePoint now)
{
    if (m_isLost) {
        m_isLost = false;
        m_regainedAt = now;
    }
}

DirectoryChanges BackendDirectory::tick(core::TimePoint now)
{
    DirectoryChanges changes;
    std::vector<BackendId> gone;
    for (const auto &[id, member] : m_members) {
        if (member.returnsUntil && now >= *member.returnsUntil) {
            gone.push_back(id);
        }
    }
    for (const auto &id : gone) {
        drop(id, DirectoryReason::Lapsed, changes);
    }
    return changes;
}

std::size_t BackendDirectory::usableCount() const
{
    return m_members.size();
}

bool BackendDirectory::isAfterOutage(core::TimePoint now) const
{
    return m_regainedAt && now < *m_regainedAt + m_settings.returnTime;
}

void BackendDirectory::take(const RegisteredBackend &backend, DirectoryChanges &changes)
{
    if (backend.isDraining) {
        drop(backend.id, DirectoryReason::Draining, changes);
        return;
    }
    if (!takeAddress(backend, changes)) {
        return;
    }
    const auto known = m_members.find(backend.id);
    const bool isKnown = known != m_members.end();
    if (isKnown) {
        // The revision changes with every word of the backend server; only other changes are told.
        known->second.backend.revision = backend.revision;
        known->second.returnsUntil.reset();
    }
    if (isKnown && known->second.backend == backend) {
        return;
    }
    m_members[backend.id] = {backend};
    changes.emplace_back(BackendUsable{backend});
}

bool BackendDirectory::takeAddress(const RegisteredBackend &backend, DirectoryChanges &changes)
{
    std::vector<BackendId> earlier;
    for (const auto &[id, member] : m_members) {
        if (id == backend.id || member.backend.address != backend.address) {
            continue;
        }
        if (member.backend.revision > backend.revision) {
            drop(backend.id, DirectoryReason::Replaced, changes);
            return false;
        }
        earlier.push_back(id);
    }
    for (const auto &id : earlier) {
        drop(id, DirectoryReason::Replaced, changes);
    }
    return true;
}

void BackendDirectory::miss(const BackendId &id, core::TimePoint now, DirectoryChanges &changes)
{
    const auto known = m_members.find(id);
    if (known == m_members.end()) {
        return;
    }
    if (!isAfterOutage(now)) {
        drop(id, DirectoryReason::Removed, changes);
        return;
    }
    if (!known->second.returnsUntil) {
        known->second.returnsUntil = *m_regainedAt + m_settings.returnTime;
    }
}

void BackendDirectory::drop(const BackendId &id, DirectoryReason reason, DirectoryChanges &changes)
{
    if (m_members.erase(id) > 0) {
        changes.emplace_back(BackendUnusable{id, reason});
    }
}

} // namespace lycheelanding::decisions::membership

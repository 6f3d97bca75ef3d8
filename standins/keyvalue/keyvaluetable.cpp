#include "keyvalue/keyvaluetable.h"

namespace lycheelanding::standins::keyvalue {

ChangeResult KeyValueTable::write(const WriteRequest &request)
{
    const Revision current = currentRevision(request.key);
    if (request.expectedRevision && *request.expectedRevision != current) {
        return {ChangeOutcome::Conflict, current};
    }
    if (request.lease && !m_leases.contains(*request.lease)) {
        return {ChangeOutcome::UnknownLease, current};
    }
    ++m_lastRevision;
    m_entries[request.key] = {request.value, m_lastRevision, request.lease};
    m_lastChangeRevisions[request.key] = m_lastRevision;
    return {ChangeOutcome::Changed, m_lastRevision};
}

ChangeResult KeyValueTable::erase(const std::string &key, std::optional<Revision> expectedRevision)
{
    const Revision current = currentRevision(key);
    if (expectedRevision && *expectedRevision != current) {
        return {ChangeOutcome::Conflict, current};
    }
    if (current != 0) {
        remove(key);
    }
    return {ChangeOutcome::Changed, m_lastRevision};
}

LeaseId KeyValueTable::grantLease(core::Duration timeToLive, core::TimePoint now)
{
    m_leases[++m_lastLeaseId] = {timeToLive, now + timeToLive};
    return m_lastLeaseId;
}

bool KeyValueTable::keepLeaseAlive(LeaseId lease, core::TimePoint now)
{
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return false;
    }
    found->second.expiresAt = now + found->second.timeToLive;
    return true;
}

bool KeyValueTable::revokeLease(LeaseId lease)
{
    if (m_leases.erase(lease) == 0) {
        return false;
    }
    std::vector<std::string> keys;
    for (const auto &[key, entry] : m_entries) {
        if (entry.lease == lease) {
            keys.push_back(key);
        }
    }
    for (const auto &key : keys) {
        remove(key);
    }
    return true;
}

void KeyValueTable::removeExpiredLeases(core::TimePoint now)
{
    std::vector<LeaseId> expired;
    for (const auto &[id, lease] : m_leases) {
        if (lease.expiresAt <= now) {
            expired.push_back(id);
        }
    }
    for (const LeaseId id : expired) {
        revokeLease(id);
    }
}

const Entry *KeyValueTable::find(const std::string &key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second;
}

Revision KeyValueTable::lastChangeRevision(const std::string &key) const
{
    const auto found = m_lastChangeRevisions.find(key);
    return found == m_lastChangeRevisions.end() ? 0 : found->second;
}

Revision KeyValueTable::currentRevision(const std::string &key) const
{
    const Entry *const entry = find(key);
    return entry == nullptr ? 0 : entry->revision;
}

void KeyValueTable::remove(const std::string &key)
{
    m_entries.erase(key);
    m_lastChangeRevisions[key] = ++m_lastRevision;
}

} // namespace lycheelanding::standins::keyvalue

#pragma once

#include "lycheelanding/core/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// A small key-value service with compare-and-swap, leases and watches.
namespace lycheelanding::standins::keyvalue {

using Revision = std::uint64_t;
using LeaseId = std::uint64_t;

struct Entry
{
    std::string value;
    Revision revision = 0;
    std::optional<LeaseId> lease;
};

enum class ChangeOutcome : std::uint8_t {
    Changed,
    Conflict,
    UnknownLease,
};

struct ChangeResult
{
    ChangeOutcome outcome = ChangeOutcome::Changed;
    /// The new revision, or the current one with Conflict; 0 for a key that does not exist.
    Revision revision = 0;
};

struct WriteRequest
{
    std::string key;
    std::string value;
    /// 0 means that the key must not exist; nothing writes in any case.
    std::optional<Revision> expectedRevision;
    std::optional<LeaseId> lease;
};

/// The keys and leases. Revisions are shared by all keys and only grow.
class KeyValueTable
{
public:
    ChangeResult write(const WriteRequest &request);
    ChangeResult erase(const std::string &key, std::optional<Revision> expectedRevision);

    LeaseId grantLease(core::Duration timeToLive, core::TimePoint now);
    /// False when the lease has lapsed.
    bool keepLeaseAlive(LeaseId lease, core::TimePoint now);
    bool revokeLease(LeaseId lease);
    /// Removes the leases whose time has passed, with their keys.
    void removeExpiredLeases(core::TimePoint now);

    const Entry *find(const std::string &key) const;
    /// Revision of the last change of `key`, its deletion included; 0 when it never existed.
    Revision lastChangeRevision(const std::string &key) const;
    const std::map<std::string, Entry> &entries() const { return m_entries; }

private:
    struct Lease
    {
        core::Duration timeToLive{};
        core::TimePoint expiresAt;
    };

    Revision currentRevision(const std::string &key) const;
    void remove(const std::string &key);

    Revision m_lastRevision = 0;
    LeaseId m_lastLeaseId = 0;
    std::map<std::string, Entry> m_entries;
    std::map<std::string, Revision> m_lastChangeRevisions;
    std::map<LeaseId, Lease> m_leases;
};

} // namespace lycheelanding::standins::keyvalue

#pragma once

#include "lycheelanding/core/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Stand-in for a key-value service with compare-and-swap, leases and watches.
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
    /// With Changed the new revision, otherwise the current one of the key: 0 when it does not exist.
    Revision revision = 0;
};

struct WriteRequest
{
    std::string key;
    std::string value;
    /// 0 requires that the key does not exist; nullopt writes unconditionally.
    std::optional<Revision> expectedRevision;
    std::optional<LeaseId> lease;
};

/// Keys and leases. All keys share one revision counter, which only grows.
class KeyValueTable
{
public:
    ChangeResult write(const WriteRequest &request);
    ChangeResult erase(const std::string &key, std::optional<Revision> expectedRevision);

    LeaseId grantLease(core::Duration timeToLive, core::TimePoint now);
    /// Returns false when the lease has expired.
    bool keepLeaseAlive(LeaseId lease, core::TimePoint now);
    bool revokeLease(LeaseId lease);
    /// Removes expired leases with their keys.
    void removeExpiredLeases(core::TimePoint now);

    const Entry *find(const std::string &key) const;
    /// Revision of the last change of `key`, including its deletion; 0 when it never existed.
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

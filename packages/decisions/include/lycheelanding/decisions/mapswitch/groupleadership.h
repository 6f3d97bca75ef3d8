#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/mapswitch/switchmessages.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace lycheelanding::decisions::mapswitch {

struct LeadershipSettings
{
    std::chrono::milliseconds timeToLive{1000};
    core::Duration renewInterval = std::chrono::milliseconds(300);
    /// Silence of a leader after which the member with rank 0 tries to lead; each further rank waits longer, so that
    /// seldom two try at once.
    core::Duration electionTimeout = std::chrono::milliseconds(800);
    core::Duration electionTimeoutPerRank = std::chrono::milliseconds(150);
    /// Pause after a failed try. It doubles, up to the longest, while another holds the key that is not heard: at a
    /// start its members are not known to it yet.
    core::Duration retryDelay = std::chrono::milliseconds(400);
    core::Duration maxRetryDelay = std::chrono::milliseconds(1600);
};

/// Numbers the calls of one process: only the answer to the latest one counts.
using LeaseCall = core::NumberId<struct LeaseCallTag>;

/// Get a lease from the store; answered by leaseGranted() or callFailed().
struct GrantLease
{
    LeaseCall call;
    std::chrono::milliseconds timeToLive{0};
};
/// Write the leader's key with the lease if the key does not exist; answered by keyWritten() or callFailed().
struct WriteLeaderKey
{
    LeaseCall call;
    std::uint64_t lease = 0;
};
/// Answered by leaseRenewed() or callFailed().
struct RenewLease
{
    LeaseCall call;
    std::uint64_t lease = 0;
};
struct BecameLeader
{
    FencingToken fencingToken;
};
/// No new switch is begun from now on.
struct LostLeadership
{ };
using LeadershipAction = std::variant<GrantLease, WriteLeaderKey, RenewLease, BecameLeader, LostLeadership>;
using LeadershipActions = std::vector<LeadershipAction>;

/// Who leads a rank group: the process that holds the group's key in the store under a lease. The store's revision of
/// that key is the fencing number, which only grows. A leader counts its lease from the moment at which it asked for
/// it, so it stops before the store gives the key to another.
class GroupLeadership
{
public:
    explicit GroupLeadership(const LeadershipSettings &settings) : m_settings(settings) { }

    /// A leader of the own group was heard.
    void leaderSeen(core::TimePoint now);
    LeadershipActions leaseGranted(LeaseCall call, std::uint64_t lease, core::TimePoint now);
    /// The key was written at a revision of the store, or exists already.
    LeadershipActions keyWritten(LeaseCall call, std::optional<std::uint64_t> revision, core::TimePoint now);
    LeadershipActions leaseRenewed(LeaseCall call);
    /// The call has no answer, or the lease has ended.
    LeadershipActions callFailed(LeaseCall call, bool hasLeaseEnded, core::TimePoint now);
    /// Another leader was found to have a higher fencing number.
    LeadershipActions resign(core::TimePoint now);
    /// `rank` is the own rank within the group.
    LeadershipActions tick(std::uint64_t rank, core::TimePoint now);

    bool isLeader() const { return m_state == State::Leading; }
    FencingToken fencingToken() const { return m_fencingToken; }

private:
    enum class State : std::uint8_t {
        Following,
        Granting,
        Writing,
        Leading,
    };

    void recordFailure(bool hasLeaseEnded, core::TimePoint now, LeadershipActions &actions);
    void stepDown(core::TimePoint now, LeadershipActions &actions);

    const LeadershipSettings m_settings;
    State m_state = State::Following;
    std::optional<core::TimePoint> m_leaderLastSeen;
    core::TimePoint m_nextAttempt;
    core::Duration m_conflictDelay{};
    core::TimePoint m_leaseRequestedAt;
    core::TimePoint m_validUntil;
    std::optional<core::TimePoint> m_renewalRequestedAt;
    std::uint64_t m_lease = 0;
    /// The call whose answer is awaited.
    LeaseCall m_pendingCall;
    FencingToken m_fencingToken;
};

} // namespace lycheelanding::decisions::mapswitch

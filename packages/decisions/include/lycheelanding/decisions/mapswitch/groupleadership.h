#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/distribution/storeera.h"
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
    /// Time without contact from a leader after which the member with rank 0 tries to become leader. Each further rank
    /// waits `electionTimeoutPerRank` longer, so that two members seldom try at once.
    core::Duration electionTimeout = std::chrono::milliseconds(800);
    core::Duration electionTimeoutPerRank = std::chrono::milliseconds(150);
    /// Delay after a failed attempt. It doubles up to `maxRetryDelay` while another process holds the key without
    /// contacting this one: a leader that has just started does not know its members yet.
    core::Duration retryDelay = std::chrono::milliseconds(400);
    core::Duration maxRetryDelay = std::chrono::milliseconds(1600);
};

/// Numbers the calls of one process to the store. Only the answer to the latest call is accepted, except for renewals
/// of the lease.
using LeaseCall = core::NumberId<struct LeaseCallTag>;

/// Request a lease from the store; answered by leaseGranted() or callFailed().
struct GrantLease
{
    LeaseCall call;
    std::chrono::milliseconds timeToLive{0};
};
/// Create the leader's key under the lease unless it exists; answered by keyWritten() or callFailed().
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
/// The process must not start another map switch.
struct LostLeadership
{ };
using LeadershipAction = std::variant<GrantLease, WriteLeaderKey, RenewLease, BecameLeader, LostLeadership>;
using LeadershipActions = std::vector<LeadershipAction>;

/// Leader election of a rank group: the leader is the process that holds the group's key in the store under a lease.
/// The era of the store and its revision of that key make the fencing token, which only grows: revisions alone go back
/// when the store comes back from an older copy. A leader counts its lease from the time of its request, so it stops
/// leading before the store can give the key to another process.
class GroupLeadership
{
public:
    explicit GroupLeadership(const LeadershipSettings &settings) : m_settings(settings) { }

    /// A message from a leader of this group was received.
    void leaderSeen(core::TimePoint now);
    LeadershipActions leaseGranted(LeaseCall call, std::uint64_t lease, core::TimePoint now);
    /// The key was written at `revision` of the store, in `era`; no revision means that it exists already.
    LeadershipActions keyWritten(LeaseCall call, std::optional<std::uint64_t> revision, distribution::StoreEra era,
                                 core::TimePoint now);
    LeadershipActions leaseRenewed(LeaseCall call);
    /// The call was not answered, or the lease has expired.
    LeadershipActions callFailed(LeaseCall call, bool hasLeaseEnded, core::TimePoint now);
    /// The store has come back from an older copy, in which the lease may be missing or belong to another process:
    /// gives up leadership and whatever was asked of the store.
    LeadershipActions eraChanged(core::TimePoint now);
    /// Gives up leadership, for example because another leader has a higher fencing token.
    LeadershipActions resign(core::TimePoint now);
    /// `rank` is the rank of this member within the group.
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

    struct Renewal
    {
        LeaseCall call;
        core::TimePoint requestedAt;
    };

    std::vector<Renewal>::iterator findRenewal(LeaseCall call);
    void recordFailure(core::TimePoint now);
    void stepDown(core::TimePoint now, LeadershipActions &actions);

    const LeadershipSettings m_settings;
    State m_state = State::Following;
    std::optional<core::TimePoint> m_leaderLastSeen;
    core::TimePoint m_nextAttempt;
    core::Duration m_conflictDelay{};
    core::TimePoint m_leaseRequestedAt;
    core::TimePoint m_validUntil;
    /// Those that are not answered yet, in the order of their requests.
    std::vector<Renewal> m_renewals;
    std::uint64_t m_lease = 0;
    /// The latest call.
    LeaseCall m_pendingCall;
    FencingToken m_fencingToken;
};

} // namespace lycheelanding::decisions::mapswitch

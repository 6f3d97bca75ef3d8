#include "lycheelanding/decisions/mapswitch/groupleadership.h"

#include <algorithm>
#include <utility>

namespace lycheelanding::decisions::mapswitch {

void GroupLeadership::leaderSeen(core::TimePoint now)
{
    m_leaderLastSeen = now;
    m_conflictDelay = core::Duration::zero();
}

LeadershipActions GroupLeadership::leaseGranted(LeaseCall call, std::uint64_t lease, core::TimePoint now)
{
    LeadershipActions actions;
    if (m_state != State::Granting || call != m_pendingCall) {
        return actions;
    }
    m_lease = lease;
    m_validUntil = m_leaseRequestedAt + m_settings.timeToLive;
    if (now >= m_validUntil) {
        recordFailure(true, now, actions);
        return actions;
    }
    m_state = State::Writing;
    m_pendingCall = m_pendingCall.next();
    actions.emplace_back(WriteLeaderKey{m_pendingCall, lease});
    return actions;
}

LeadershipActions GroupLeadership::keyWritten(LeaseCall call, std::optional<std::uint64_t> revision,
                                              core::TimePoint now)
{
    LeadershipActions actions;
    if (m_state != State::Writing || call != m_pendingCall) {
        return actions;
    }
    if (!revision || now >= m_validUntil) {
        recordFailure(true, now, actions);
        m_conflictDelay = std::clamp(m_conflictDelay * 2, m_settings.retryDelay, m_settings.maxRetryDelay);
        m_nextAttempt = now + m_conflictDelay;
        return actions;
    }
    m_state = State::Leading;
    m_fencingToken = FencingToken(*revision);
    m_renewalRequestedAt.reset();
    actions.emplace_back(BecameLeader{m_fencingToken});
    return actions;
}

LeadershipActions GroupLeadership::leaseRenewed(LeaseCall call)
{
    if (m_state == State::Leading && m_renewalRequestedAt && call == m_pendingCall) {
        m_leaseRequestedAt = *std::exchange(m_renewalRequestedAt, std::nullopt);
        m_validUntil = m_leaseRequestedAt + m_settings.timeToLive;
    }
    return {};
}

LeadershipActions GroupLeadership::callFailed(LeaseCall call, bool hasLeaseEnded, core::TimePoint now)
{
    LeadershipActions actions;
    if (call == m_pendingCall) {
        recordFailure(hasLeaseEnded, now, actions);
    }
    return actions;
}

void GroupLeadership::recordFailure(bool hasLeaseEnded, core::TimePoint now, LeadershipActions &actions)
{
    if (m_state == State::Leading) {
        m_renewalRequestedAt.reset();
        m_nextAttempt = now + m_settings.renewInterval / 3;
        if (hasLeaseEnded) {
            stepDown(now, actions);
        }
        return;
    }
    if (m_state != State::Following) {
        m_state = State::Following;
        m_nextAttempt = now + m_settings.retryDelay;
    }
}

LeadershipActions GroupLeadership::resign(core::TimePoint now)
{
    LeadershipActions actions;
    stepDown(now, actions);
    return actions;
}

LeadershipActions GroupLeadership::tick(std::uint64_t rank, core::TimePoint now)
{
    LeadershipActions actions;
    if (m_state == State::Leading) {
        if (now >= m_validUntil) {
            stepDown(now, actions);
        } else if (!m_renewalRequestedAt && now >= m_nextAttempt
                   && now - m_leaseRequestedAt >= m_settings.renewInterval) {
            m_renewalRequestedAt = now;
            m_pendingCall = m_pendingCall.next();
            actions.emplace_back(RenewLease{m_pendingCall, m_lease});
        }
        return actions;
    }
    if (!m_leaderLastSeen) {
        // A process that has just started has no last contact. Counting the election timeout as elapsed lets rank 0
        // try at once.
        m_leaderLastSeen = now - m_settings.electionTimeout;
    }
    const bool isLeaderUnresponsive
        = now - *m_leaderLastSeen >= m_settings.electionTimeout + m_settings.electionTimeoutPerRank * rank;
    if (m_state == State::Following && isLeaderUnresponsive && now >= m_nextAttempt) {
        m_state = State::Granting;
        m_leaseRequestedAt = now;
        m_pendingCall = m_pendingCall.next();
        actions.emplace_back(GrantLease{m_pendingCall, m_settings.timeToLive});
    }
    return actions;
}

void GroupLeadership::stepDown(core::TimePoint now, LeadershipActions &actions)
{
    if (m_state == State::Leading) {
        actions.emplace_back(LostLeadership{});
    }
    m_state = State::Following;
    m_nextAttempt = now + m_settings.retryDelay;
}

} // namespace lycheelanding::decisions::mapswitch

#include "lycheelanding/decisions/mapswitch/groupleadership.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lycheelanding::decisions::mapswitch {

namespace {

/// Bits of the revision in a fencing token; the era is above them.
constexpr unsigned revisionBits = 32;

FencingToken fencingTokenOf(distribution::StoreEra era, std::uint64_t revision)
{
    return FencingToken((era.number() << revisionBits) + revision);
}

} // namespace

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
        recordFailure(now);
        return actions;
    }
    m_state = State::Writing;
    m_pendingCall = m_pendingCall.next();
    actions.emplace_back(WriteLeaderKey{m_pendingCall, lease});
    return actions;
}

LeadershipActions GroupLeadership::keyWritten(LeaseCall call, std::optional<std::uint64_t> revision,
                                              distribution::StoreEra era, core::TimePoint now)
{
    LeadershipActions actions;
    if (m_state != State::Writing || call != m_pendingCall) {
        return actions;
    }
    if (!revision || now >= m_validUntil) {
        recordFailure(now);
        m_conflictDelay = std::clamp(m_conflictDelay * 2, m_settings.retryDelay, m_settings.maxRetryDelay);
        m_nextAttempt = now + m_conflictDelay;
        return actions;
    }
    m_state = State::Leading;
    m_fencingToken = fencingTokenOf(era, *revision);
    m_renewals.clear();
    m_nextAttempt = m_leaseRequestedAt + m_settings.renewInterval;
    actions.emplace_back(BecameLeader{m_fencingToken});
    return actions;
}

LeadershipActions GroupLeadership::leaseRenewed(LeaseCall call)
{
    const auto answered = findRenewal(call);
    if (answered != m_renewals.end()) {
        m_validUntil = answered->requestedAt + m_settings.timeToLive;
        // The answers to earlier renewals tell nothing more.
        m_renewals.erase(m_renewals.begin(), std::next(answered));
    }
    return {};
}

LeadershipActions GroupLeadership::callFailed(LeaseCall call, bool hasLeaseEnded, core::TimePoint now)
{
    LeadershipActions actions;
    if (m_state != State::Leading) {
        if (call == m_pendingCall) {
            recordFailure(now);
        }
        return actions;
    }
    const auto failed = findRenewal(call);
    if (failed == m_renewals.end()) {
        return actions;
    }
    m_renewals.erase(failed);
    m_nextAttempt = std::min(m_nextAttempt, now + m_settings.renewInterval / 3);
    if (hasLeaseEnded) {
        stepDown(now, actions);
    }
    return actions;
}

std::vector<GroupLeadership::Renewal>::iterator GroupLeadership::findRenewal(LeaseCall call)
{
    return std::find_if(m_renewals.begin(), m_renewals.end(), [call](const auto &each) { return each.call == call; });
}

void GroupLeadership::recordFailure(core::TimePoint now)
{
    if (m_state != State::Following) {
        m_state = State::Following;
        m_nextAttempt = now + m_settings.retryDelay;
    }
}

LeadershipActions GroupLeadership::eraChanged(core::TimePoint now)
{
    LeadershipActions actions;
    // Answers to calls of the earlier era no longer match.
    m_pendingCall = m_pendingCall.next();
    stepDown(now, actions);
    return actions;
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
        } else if (now >= m_nextAttempt) {
            // Also while earlier ones are not answered yet: waiting for slow answers would let the lease expire.
            m_nextAttempt = now + m_settings.renewInterval;
            m_pendingCall = m_pendingCall.next();
            m_renewals.push_back({m_pendingCall, now});
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
    m_renewals.clear();
    m_nextAttempt = now + m_settings.retryDelay;
}

} // namespace lycheelanding::decisions::mapswitch

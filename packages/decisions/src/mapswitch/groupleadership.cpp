#include "lycheelanding/decisions/mapswitch/groupleadership.h"

#include <algorithm>
#include <utility>

namespace lycheelanding::decisions::mapswitch {

void GroupLeadership::leaderHeard(core::TimePoint now)
{
    m_lastHeard = now;
    m_conflictPause = core::Duration::zero();
}

LeadershipActions GroupLeadership::leaseGranted(LeaseCall call, std::uint64_t lease, core::TimePoint now)
{
    LeadershipActions actions;
    if (m_state != State::Granting || call != m_call) {
        return actions;
    }
    m_lease = lease;
    m_validUntil = m_askedAt + m_settings.timeToLive;
    if (now >= m_validUntil) {
        noteFailure(true, now, actions);
        return actions;
    }
    m_state = State::Writing;
    m_call = m_call.next();
    actions.emplace_back(WriteLeaderKey{m_call, lease});
    return actions;
}

LeadershipActions GroupLeadership::keyWritten(LeaseCall call, std::optional<std::uint64_t> revision,
                                              core::TimePoint now)
{
    LeadershipActions actions;
    if (m_state != State::Writing || call != m_call) {
        return actions;
    }
    if (!revision || now >= m_validUntil) {
        noteFailure(true, now, actions);
        m_conflictPause = std::clamp(m_conflictPause * 2, m_settings.retryPause, m_settings.longestRetryPause);
        m_nextTry = now + m_conflictPause;
        return actions;
    }
    m_state = State::Leading;
    m_fence = FencingNumber(*revision);
    m_renewalAsked.reset();
    actions.emplace_back(BecameLeader{m_fence});
    return actions;
}

LeadershipActions GroupLeadership::leaseRenewed(LeaseCall call)
{
    if (m_state == State::Leading && m_renewalAsked && call == m_call) {
        m_askedAt = *std::exchange(m_renewalAsked, std::nullopt);
        m_validUntil = m_askedAt + m_settings.timeToLive;
    }
    return {};
}

LeadershipActions GroupLeadership::callFailed(LeaseCall call, bool hasLeaseEnded, core::TimePoint now)
{
    LeadershipActions actions;
    if (call == m_call) {
        noteFailure(hasLeaseEnded, now, actions);
    }
    return actions;
}

void GroupLeadership::noteFailure(bool hasLeaseEnded, core::TimePoint now, LeadershipActions &actions)
{
    if (m_state == State::Leading) {
        m_renewalAsked.reset();
        m_nextTry = now + m_settings.renewInterval / 3;
        if (hasLeaseEnded) {
            stepDown(now, actions);
        }
        return;
    }
    if (m_state != State::Following) {
        m_state = State::Following;
        m_nextTry = now + m_settings.retryPause;
    }
}

LeadershipActions GroupLeadership::fencedOff(core::TimePoint now)
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
        } else if (!m_renewalAsked && now >= m_nextTry && now - m_askedAt >= m_settings.renewInterval) {
            m_renewalAsked = now;
            m_call = m_call.next();
            actions.emplace_back(RenewLease{m_call, m_lease});
        }
        return actions;
    }
    if (!m_lastHeard) {
        // A fresh process cannot tell silence from its own short life; the first rank need not wait.
        m_lastHeard = now - m_settings.silence;
    }
    const bool isSilent = now - *m_lastHeard >= m_settings.silence + m_settings.silencePerRank * rank;
    if (m_state == State::Following && isSilent && now >= m_nextTry) {
        m_state = State::Granting;
        m_askedAt = now;
        m_call = m_call.next();
        actions.emplace_back(GrantLease{m_call, m_settings.timeToLive});
    }
    return actions;
}

void GroupLeadership::stepDown(core::TimePoint now, LeadershipActions &actions)
{
    if (m_state == State::Leading) {
        actions.emplace_back(LostLeadership{});
    }
    m_state = State::Following;
    m_nextTry = now + m_settings.retryPause;
}

} // namespace lycheelanding::decisions::mapswitch

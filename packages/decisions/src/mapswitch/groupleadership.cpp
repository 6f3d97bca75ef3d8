#include "lycheelanding/decisions/mapswitch/groupleadership.h"

#include <utility>

namespace lycheelanding::decisions::mapswitch {

LeadershipActions GroupLeadership::leaseGranted(std::uint64_t lease, core::TimePoint now)
{
    LeadershipActions actions;
    if (m_state != State::Granting) {
        return actions;
    }
    m_lease = lease;
    m_validUntil = m_askedAt + m_settings.timeToLive;
    if (now >= m_validUntil) {
        return callFailed(true, now);
    }
    m_state = State::Writing;
    actions.emplace_back(WriteLeaderKey{lease});
    return actions;
}

LeadershipActions GroupLeadership::keyWritten(std::optional<std::uint64_t> revision, core::TimePoint now)
{
    LeadershipActions actions;
    if (m_state != State::Writing) {
        return actions;
    }
    if (!revision || now >= m_validUntil) {
        return callFailed(true, now);
    }
    m_state = State::Leading;
    m_fence = FencingNumber(*revision);
    m_renewalAsked.reset();
    actions.emplace_back(BecameLeader{m_fence});
    return actions;
}

LeadershipActions GroupLeadership::leaseRenewed(core::TimePoint)
{
    if (m_state == State::Leading && m_renewalAsked) {
        m_askedAt = *std::exchange(m_renewalAsked, std::nullopt);
        m_validUntil = m_askedAt + m_settings.timeToLive;
    }
    return {};
}

LeadershipActions GroupLeadership::callFailed(bool hasLeaseEnded, core::TimePoint now)
{
    LeadershipActions actions;
    if (m_state == State::Leading) {
        m_renewalAsked.reset();
        m_nextTry = now + m_settings.renewInterval / 3;
        if (hasLeaseEnded) {
            stepDown(now, actions);
        }
        return actions;
    }
    if (m_state != State::Following) {
        m_state = State::Following;
        m_nextTry = now + m_settings.retryPause;
    }
    return actions;
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
            actions.emplace_back(RenewLease{m_lease});
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
        actions.emplace_back(GrantLease{m_settings.timeToLive});
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

#include "lycheelanding/decisions/membership/sidedrain.h"

namespace lycheelanding::decisions::membership {

SideDrain::SideDrain(const SideDrainSettings &settings) : m_settings(settings) { }

SideDrainActions SideDrain::stopRequested(core::TimePoint now)
{
    SideDrainActions actions;
    startDraining(actions);
    if (!m_stopRequestedAt) {
        m_stopRequestedAt = now;
    }
    exitWhenDue(now, actions);
    return actions;
}

SideDrainActions SideDrain::vmLeaving(core::TimePoint now)
{
    SideDrainActions actions;
    startDraining(actions);
    exitWhenDue(now, actions);
    return actions;
}

SideDrainActions SideDrain::requestArrived(core::TimePoint now)
{
    SideDrainActions actions;
    if (m_phase == DrainPhase::Serving) {
        ++m_running;
        actions.emplace_back(AdmitRequest{});
        return actions;
    }
    actions.emplace_back(RefuseRequest{});
    exitWhenDue(now, actions);
    return actions;
}

SideDrainActions SideDrain::requestFinished(core::TimePoint now)
{
    SideDrainActions actions;
    --m_running;
    exitWhenDue(now, actions);
    return actions;
}

SideDrainActions SideDrain::entryConnected(core::TimePoint now)
{
    SideDrainActions actions;
    ++m_connectedEntries;
    exitWhenDue(now, actions);
    return actions;
}

SideDrainActions SideDrain::entryDisconnected(core::TimePoint now)
{
    SideDrainActions actions;
    --m_connectedEntries;
    exitWhenDue(now, actions);
    return actions;
}

SideDrainActions SideDrain::tick(core::TimePoint now)
{
    SideDrainActions actions;
    exitWhenDue(now, actions);
    return actions;
}

void SideDrain::startDraining(SideDrainActions &actions)
{
    if (m_phase != DrainPhase::Serving) {
        return;
    }
    m_phase = DrainPhase::Draining;
    actions.emplace_back(AnnounceLeaving{});
}

void SideDrain::exitWhenDue(core::TimePoint now, SideDrainActions &actions)
{
    if (m_phase != DrainPhase::Draining || !m_stopRequestedAt) {
        return;
    }
    // Requests that an entry sent before it was notified of the stop may still arrive. The entry can report them as
    // "not run" only if this side refuses them, so the side waits until the entries have closed their connections.
    const bool isLingering = m_connectedEntries > 0 && now - *m_stopRequestedAt < m_settings.linger;
    const bool isFinished = m_running == 0 && !isLingering;
    if (!isFinished && now - *m_stopRequestedAt < m_settings.timeout) {
        return;
    }
    m_phase = DrainPhase::Stopped;
    actions.emplace_back(Exit{m_running});
}

} // namespace lycheelanding::decisions::membership

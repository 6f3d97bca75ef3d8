#include "lycheelanding/decisions/membership/entrydrain.h"

#include <algorithm>

namespace lycheelanding::decisions::membership {

namespace {

/// At most this part of the timeout is spent on accepting requests, so that the last ones can still be answered.
constexpr int acceptDivisor = 3;

} // namespace

EntryDrain::EntryDrain(const EntryDrainSettings &settings) : m_settings(settings) { }

EntryDrainActions EntryDrain::stopRequested(core::TimePoint now)
{
    EntryDrainActions actions;
    if (!m_stopRequestedAt) {
        m_stopRequestedAt = now;
    }
    advance(now, actions);
    return actions;
}

EntryDrainActions EntryDrain::requestArrived(core::TimePoint now)
{
    EntryDrainActions actions;
    advance(now, actions);
    if (m_phase == DrainPhase::Serving) {
        ++m_running;
        actions.emplace_back(AdmitRequest{});
    } else {
        actions.emplace_back(RefuseRequest{});
    }
    return actions;
}

EntryDrainActions EntryDrain::requestFinished(core::TimePoint now)
{
    EntryDrainActions actions;
    --m_running;
    advance(now, actions);
    return actions;
}

EntryDrainActions EntryDrain::tick(core::TimePoint now)
{
    EntryDrainActions actions;
    advance(now, actions);
    return actions;
}

void EntryDrain::advance(core::TimePoint now, EntryDrainActions &actions)
{
    if (!m_stopRequestedAt || m_phase == DrainPhase::Stopped) {
        return;
    }
    const core::Duration sinceStop = now - *m_stopRequestedAt;
    if (m_phase == DrainPhase::Serving && sinceStop >= acceptTime()) {
        m_phase = DrainPhase::Draining;
        actions.emplace_back(StopListening{});
    }
    if (m_phase != DrainPhase::Draining) {
        return;
    }
    if (m_isSending && sinceStop >= sendTime()) {
        m_isSending = false;
        actions.emplace_back(StopSending{});
    }
    if (m_running == 0 || sinceStop >= m_settings.timeout) {
        m_phase = DrainPhase::Stopped;
        actions.emplace_back(Exit{m_running});
    }
}

std::optional<core::TimePoint> EntryDrain::deadline() const
{
    return m_stopRequestedAt ? std::optional(*m_stopRequestedAt + m_settings.timeout) : std::nullopt;
}

std::chrono::milliseconds EntryDrain::acceptTime() const
{
    return std::min(m_settings.notReadyTime, m_settings.timeout / acceptDivisor);
}

std::chrono::milliseconds EntryDrain::sendTime() const
{
    return acceptTime() + (m_settings.timeout - acceptTime()) / 2;
}

} // namespace lycheelanding::decisions::membership

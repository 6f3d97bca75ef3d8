#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/decisions/membership/sidedrain.h"

#include <functional>
#include <mutex>
#include <string>

namespace lycheelanding::daemon::side {

/// What the gate tells the side. Called without the gate's lock.
struct SideGateHandlers
{
    /// All connected entries are to be told that the side is leaving.
    std::function<void()> onAnnounceLeaving;
    /// The process may end; so many requests were still running when the limit passed.
    std::function<void(std::size_t unfinished)> onExit;
};

/// Admits requests until the side leaves, and finds the moment at which the process may end.
class SideGate
{
public:
    SideGate(const decisions::membership::SideDrainSettings &settings, SideGateHandlers handlers);

    /// Fails with Draining. Each success is to be followed by one requestFinished().
    core::Status admit();
    void requestFinished();
    /// The longest wait for running requests once a stop was ordered.
    void setTimeout(std::chrono::milliseconds limit);
    void stopRequested();
    void vmLeaving(const std::string &reason);
    void entryConnected();
    void entryDisconnected();
    void tick();

    decisions::membership::DrainPhase phase() const;

private:
    using Actions = decisions::membership::SideDrainActions;

    template <typename Event>
    Actions handle(Event event);

    SideGateHandlers m_handlers;
    core::SystemClock m_clock;
    mutable std::mutex m_mutex;
    decisions::membership::SideDrain m_drain;
};

} // namespace lycheelanding::daemon::side

#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/decisions/membership/sidedrain.h"

#include <functional>
#include <mutex>
#include <string>

namespace lycheelanding::daemon::side {

/// Callbacks of a SideGate, called without its lock.
struct SideGateHandlers
{
    /// Notifies all connected entries that the side is leaving.
    std::function<void()> onAnnounceLeaving;
    /// Ends the process; `unfinished` requests were still running when the drain timeout expired.
    std::function<void(std::size_t unfinished)> onExit;
};

/// Admits requests until the side drains, and determines when the process may exit.
class SideGate
{
public:
    SideGate(const decisions::membership::SideDrainSettings &settings, SideGateHandlers handlers);

    /// Fails with Draining. Each success must be followed by one call of requestFinished().
    core::Status admit();
    void requestFinished();
    /// Sets the maximum wait for running requests after a stop was requested.
    void setDrainTimeout(std::chrono::milliseconds timeout);
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

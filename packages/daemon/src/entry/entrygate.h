#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/decisions/membership/entrydrain.h"

#include <functional>
#include <mutex>
#include <optional>

namespace lycheelanding::daemon::entry {

/// Events that the gate reports to the entry. Called without the gate's lock.
struct EntryGateHandlers
{
    std::function<void()> onStopListening;
    /// Requests without a backend server are given up, and attempts must not be started any more.
    std::function<void()> onStopSending;
    /// The drain has ended and the process may exit. `unfinished` requests were still running at the drain timeout.
    std::function<void(std::size_t unfinished)> onExit;
};

/// Admits callers' requests until the entry drains, and determines when the process may exit.
class EntryGate
{
public:
    EntryGate(const decisions::membership::EntryDrainSettings &settings, EntryGateHandlers handlers);

    /// Fails with Draining. Each success must be followed by one requestFinished().
    core::Status admit();
    void requestFinished();
    /// Sets the maximum wait for running requests, counted from the stop request.
    void setDrainTimeout(std::chrono::milliseconds timeout);
    /// Begins the drain.
    void stopRequested();
    void tick();

    /// When requests that are still running are abandoned; unset without a stop request.
    std::optional<core::TimePoint> deadline() const;
    bool isReady() const;
    /// Whether attempts may be started.
    bool isSending() const;
    decisions::membership::DrainPhase phase() const;

private:
    using Actions = decisions::membership::EntryDrainActions;

    template <typename Event>
    Actions handle(Event event);

    EntryGateHandlers m_handlers;
    core::SystemClock m_clock;
    mutable std::mutex m_mutex;
    decisions::membership::EntryDrain m_drain;
};

} // namespace lycheelanding::daemon::entry

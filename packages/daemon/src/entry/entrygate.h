#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/decisions/membership/entrydrain.h"

#include <functional>
#include <mutex>

namespace lycheelanding::daemon::entry {

/// What the gate tells the entry. Called without the gate's lock.
struct EntryGateHandlers
{
    std::function<void()> onStopListening;
    /// The process may end; so many requests were still running when the limit passed.
    std::function<void(std::size_t unfinished)> onExit;
};

/// Admits callers' requests until the entry stops, and finds the moment at which the process may end.
class EntryGate
{
public:
    EntryGate(const decisions::membership::EntryDrainSettings &settings, EntryGateHandlers handlers);

    /// Fails with Draining. Each success is to be followed by one requestFinished().
    core::Status admit();
    void requestFinished();
    /// The longest wait for running requests once a stop was ordered.
    void setDrainTimeout(std::chrono::milliseconds timeout);
    void stopRequested();
    void tick();

    bool isReady() const;
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

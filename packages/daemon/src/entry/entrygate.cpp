#include "entry/entrygate.h"

#include <variant>

namespace lycheelanding::daemon::entry {

using decisions::membership::EntryDrain;

EntryGate::EntryGate(const decisions::membership::EntryDrainSettings &settings, EntryGateHandlers handlers)
    : m_handlers(std::move(handlers)), m_drain(settings)
{ }

template <typename Event>
EntryGate::Actions EntryGate::handle(Event event)
{
    Actions actions;
    {
        const std::scoped_lock lock(m_mutex);
        actions = event(m_drain, m_clock.now());
    }
    for (const auto &action : actions) {
        if (std::holds_alternative<decisions::membership::StopListening>(action)) {
            m_handlers.onStopListening();
        } else if (std::holds_alternative<decisions::membership::StopSending>(action)) {
            m_handlers.onStopSending();
        } else if (const auto *exit = std::get_if<decisions::membership::Exit>(&action)) {
            m_handlers.onExit(exit->unfinished);
        }
    }
    return actions;
}

core::Status EntryGate::admit()
{
    const auto actions = handle([](EntryDrain &drain, core::TimePoint now) { return drain.requestArrived(now); });
    for (const auto &action : actions) {
        if (const auto *refuse = std::get_if<decisions::membership::RefuseRequest>(&action)) {
            return core::Error{refuse->kind, "the entry is shutting down"};
        }
    }
    return core::Done();
}

void EntryGate::requestFinished()
{
    handle([](EntryDrain &drain, core::TimePoint now) { return drain.requestFinished(now); });
}

void EntryGate::setDrainTimeout(std::chrono::milliseconds timeout)
{
    const std::scoped_lock lock(m_mutex);
    m_drain.setTimeout(timeout);
}

void EntryGate::stopRequested()
{
    handle([](EntryDrain &drain, core::TimePoint now) { return drain.stopRequested(now); });
}

void EntryGate::tick()
{
    handle([](EntryDrain &drain, core::TimePoint now) { return drain.tick(now); });
}

std::optional<core::TimePoint> EntryGate::deadline() const
{
    const std::scoped_lock lock(m_mutex);
    return m_drain.deadline();
}

bool EntryGate::isReady() const
{
    const std::scoped_lock lock(m_mutex);
    return m_drain.isReady();
}

bool EntryGate::isSending() const
{
    const std::scoped_lock lock(m_mutex);
    return m_drain.isSending();
}

decisions::membership::DrainPhase EntryGate::phase() const
{
    const std::scoped_lock lock(m_mutex);
    return m_drain.phase();
}

} // namespace lycheelanding::daemon::entry

#include "side/sidegate.h"

#include "logging/statelog.h"

#include <variant>

namespace lycheelanding::daemon::side {

using decisions::membership::DrainPhase;
using decisions::membership::SideDrain;

SideGate::SideGate(const decisions::membership::SideDrainSettings &settings, SideGateHandlers handlers)
    : m_handlers(std::move(handlers)), m_drain(settings)
{ }

template <typename Event>
SideGate::Actions SideGate::handle(Event event)
{
    Actions actions;
    {
        const std::scoped_lock lock(m_mutex);
        actions = event(m_drain, m_clock.now());
    }
    for (const auto &action : actions) {
        if (std::holds_alternative<decisions::membership::AnnounceLeaving>(action)) {
            m_handlers.onAnnounceLeaving();
        } else if (const auto *exit = std::get_if<decisions::membership::Exit>(&action)) {
            m_handlers.onExit(exit->unfinished);
        }
    }
    return actions;
}

core::Status SideGate::admit()
{
    const auto actions = handle([](SideDrain &drain, core::TimePoint now) { return drain.requestArrived(now); });
    for (const auto &action : actions) {
        if (const auto *refuse = std::get_if<decisions::membership::RefuseRequest>(&action)) {
            return core::Error{refuse->kind, "the backend server is leaving"};
        }
    }
    return core::Done();
}

void SideGate::requestFinished()
{
    handle([](SideDrain &drain, core::TimePoint now) { return drain.requestFinished(now); });
}

void SideGate::setDrainTimeout(std::chrono::milliseconds timeout)
{
    const std::scoped_lock lock(m_mutex);
    m_drain.setTimeout(timeout);
}

void SideGate::stopRequested()
{
    logging::logChange(logging::Level::Info, "draining", {{"reason", "stop signal"}});
    handle([](SideDrain &drain, core::TimePoint now) { return drain.stopRequested(now); });
}

void SideGate::vmLeaving(const std::string &reason)
{
    if (phase() == DrainPhase::Serving) {
        logging::logChange(logging::Level::Info, "draining", {{"reason", reason}});
    }
    handle([](SideDrain &drain, core::TimePoint now) { return drain.vmLeaving(now); });
}

void SideGate::entryConnected()
{
    handle([](SideDrain &drain, core::TimePoint now) { return drain.entryConnected(now); });
}

void SideGate::entryDisconnected()
{
    handle([](SideDrain &drain, core::TimePoint now) { return drain.entryDisconnected(now); });
}

void SideGate::tick()
{
    handle([](SideDrain &drain, core::TimePoint now) { return drain.tick(now); });
}

DrainPhase SideGate::phase() const
{
    const std::scoped_lock lock(m_mutex);
    return m_drain.phase();
}

} // namespace lycheelanding::daemon::side

#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/admission/admissioncontroller.h"
#include "runtime/workerpool.h"

#include <functional>
#include <map>
#include <mutex>

namespace lycheelanding::daemon::entry {

/// Called once with the end of a request's wait, on any thread.
using AdmissionHandler = std::function<void(const core::Result<decisions::admission::Admitted> &)>;

/// The admission of this entry, shared by all workers.
class AdmissionService
{
public:
    AdmissionService(asio::io_context &context, const decisions::admission::AdmissionSettings &settings);

    void setSettings(const decisions::admission::AdmissionSettings &settings);
    void setOrganisations(const std::vector<decisions::admission::OrganisationShare> &shares);
    void setCapacity(std::size_t requests);
    void setLiveEntries(std::size_t entries);

    void offer(const decisions::admission::RequestTicket &ticket, AdmissionHandler onDecision);
    /// An admitted request has ended.
    void completed(decisions::admission::TicketId id);
    /// A request that may still wait has ended; its handler is not called any more.
    void cancelled(decisions::admission::TicketId id);

    std::size_t inFlight() const;
    std::size_t queued() const;

private:
    struct Completion
    {
        AdmissionHandler handler;
        core::Result<decisions::admission::Admitted> result;
    };

    /// Changes the controller under the lock, then tells those who left the queues.
    template <typename Change>
    void update(Change change);
    void addCompletion(decisions::admission::TicketId id, core::Result<decisions::admission::Admitted> result,
                       std::vector<Completion> &completions);

    core::SystemClock m_clock;
    mutable std::mutex m_mutex;
    decisions::admission::AdmissionController m_controller;
    std::map<decisions::admission::TicketId, AdmissionHandler> m_handlers;
    runtime::RepeatingTimer m_timer;
};

} // namespace lycheelanding::daemon::entry

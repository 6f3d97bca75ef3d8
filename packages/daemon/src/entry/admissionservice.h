#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/admission/admissioncontroller.h"
#include "runtime/workerpool.h"

#include <functional>
#include <map>
#include <mutex>

namespace lycheelanding::daemon::entry {

/// Called once, on any thread, when a request has been admitted or refused.
using AdmissionHandler = std::function<void(const core::Result<decisions::admission::Admitted> &)>;

/// Admission control of this entry, shared by all workers: runs decisions::admission::AdmissionController under a lock
/// and calls the handlers of requests that leave its queues.
class AdmissionService
{
public:
    AdmissionService(asio::io_context &context, const decisions::admission::AdmissionSettings &settings);

    void setSettings(const decisions::admission::AdmissionSettings &settings);
    void setOrganisations(const std::vector<decisions::admission::OrganisationShare> &shares);
    void setCapacity(std::size_t requests);
    void setLiveEntries(std::size_t entries);

    /// Admits, queues or refuses a request. Unless the request is queued, the handler is called before offer() returns.
    void offer(const decisions::admission::RequestTicket &ticket, AdmissionHandler onDecision);
    /// An admitted request has ended.
    void completed(decisions::admission::TicketId id);
    /// A request that may still be queued has ended; its handler is no longer called.
    void cancelled(decisions::admission::TicketId id);

    std::size_t inFlight() const;
    std::size_t queued() const;

private:
    struct Completion
    {
        AdmissionHandler handler;
        core::Result<decisions::admission::Admitted> result;
    };

    /// Applies `change` to the controller under the lock, then calls the handlers of the requests that left its queues.
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

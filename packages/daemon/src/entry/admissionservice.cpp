#include "entry/admissionservice.h"

namespace lycheelanding::daemon::entry {

namespace {

/// Interval at which queued requests that can no longer meet their deadline are refused.
constexpr std::chrono::milliseconds expiryInterval(10);

} // namespace

AdmissionService::AdmissionService(asio::io_context &context, const decisions::admission::AdmissionSettings &settings)
    : m_controller(settings), m_timer(context, expiryInterval, [this] { update([](auto &, core::TimePoint) {}); })
{ }

template <typename Change>
void AdmissionService::update(Change change)
{
    std::vector<Completion> completions;
    {
        const std::scoped_lock lock(m_mutex);
        const auto now = m_clock.now();
        change(m_controller, now);
        const auto dequeued = m_controller.dequeue(now);
        for (const auto &ticket : dequeued.admitted) {
            addCompletion(ticket.id, decisions::admission::Admitted{ticket.isBeyondShare}, completions);
        }
        for (const auto &refused : dequeued.refused) {
            addCompletion(refused.id, refused.error, completions);
        }
    }
    for (const auto &completion : completions) {
        completion.handler(completion.result);
    }
}

void AdmissionService::addCompletion(decisions::admission::TicketId id,
                                     core::Result<decisions::admission::Admitted> result,
                                     std::vector<Completion> &completions)
{
    const auto found = m_handlers.find(id);
    if (found == m_handlers.end()) {
        return;
    }
    completions.push_back({std::move(found->second), std::move(result)});
    m_handlers.erase(found);
}

void AdmissionService::setSettings(const decisions::admission::AdmissionSettings &settings)
{
    update([&](auto &controller, core::TimePoint) { controller.configure(settings); });
}

void AdmissionService::setOrganisations(const std::vector<decisions::admission::OrganisationShare> &shares)
{
    update([&](auto &controller, core::TimePoint) { controller.setOrganisations(shares); });
}

void AdmissionService::setCapacity(std::size_t requests)
{
    update([&](auto &controller, core::TimePoint) { controller.setCapacity(requests); });
}

void AdmissionService::setLiveEntries(std::size_t entries)
{
    update([&](auto &controller, core::TimePoint) { controller.setLiveEntries(entries); });
}

void AdmissionService::offer(const decisions::admission::RequestTicket &ticket, AdmissionHandler onDecision)
{
    decisions::admission::OfferResult result;
    {
        const std::scoped_lock lock(m_mutex);
        result = m_controller.offer(ticket, m_clock.now());
        if (std::holds_alternative<decisions::admission::Queued>(result)) {
            m_handlers.emplace(ticket.id, std::move(onDecision));
            return;
        }
    }
    if (const auto *refused = std::get_if<decisions::admission::Refused>(&result)) {
        onDecision(refused->error);
        return;
    }
    onDecision(std::get<decisions::admission::Admitted>(result));
}

void AdmissionService::completed(decisions::admission::TicketId id)
{
    update([id](auto &controller, core::TimePoint now) { controller.completed(id, now); });
}

void AdmissionService::cancelled(decisions::admission::TicketId id)
{
    update([this, id](auto &controller, core::TimePoint now) {
        m_handlers.erase(id);
        controller.cancelled(id, now);
    });
}

std::size_t AdmissionService::inFlight() const
{
    const std::scoped_lock lock(m_mutex);
    return m_controller.inFlight();
}

std::size_t AdmissionService::queued() const
{
    const std::scoped_lock lock(m_mutex);
    return m_controller.queued();
}

} // namespace lycheelanding::daemon::entry

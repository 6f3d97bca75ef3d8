#include "entry/admissiontable.h"

namespace lycheelanding::daemon::entry {

namespace {

/// How often queues are looked through for requests that can no longer meet their deadline.
constexpr std::chrono::milliseconds expiryInterval(10);

} // namespace

AdmissionTable::AdmissionTable(asio::io_context &context, const decisions::admission::AdmissionSettings &settings)
    : m_controller(settings), m_timer(context, expiryInterval, [this] { change([](auto &, core::TimePoint) {}); })
{ }

template <typename Change>
void AdmissionTable::change(Change change)
{
    std::vector<Verdict> verdicts;
    {
        const std::scoped_lock lock(m_mutex);
        const auto now = m_clock.now();
        change(m_controller, now);
        const auto step = m_controller.dequeue(now);
        for (const auto &ticket : step.admitted) {
            collect(ticket.id, decisions::admission::Admitted{ticket.beyondShare}, verdicts);
        }
        for (const auto &refused : step.refused) {
            collect(refused.id, refused.error, verdicts);
        }
    }
    for (const auto &verdict : verdicts) {
        verdict.handler(verdict.result);
    }
}

void AdmissionTable::collect(decisions::admission::TicketId id, core::Result<decisions::admission::Admitted> result,
                             std::vector<Verdict> &verdicts)
{
    const auto found = m_handlers.find(id);
    if (found == m_handlers.end()) {
        return;
    }
    verdicts.push_back({std::move(found->second), std::move(result)});
    m_handlers.erase(found);
}

void AdmissionTable::setSettings(const decisions::admission::AdmissionSettings &settings)
{
    change([&](auto &controller, core::TimePoint) { controller.configure(settings); });
}

void AdmissionTable::setOrganisations(const std::vector<decisions::admission::OrganisationShare> &shares)
{
    change([&](auto &controller, core::TimePoint) { controller.setOrganisations(shares); });
}

void AdmissionTable::setCapacity(std::size_t requests)
{
    change([&](auto &controller, core::TimePoint) { controller.setCapacity(requests); });
}

void AdmissionTable::setLiveEntries(std::size_t entries)
{
    change([&](auto &controller, core::TimePoint) { controller.setLiveEntries(entries); });
}

void AdmissionTable::offer(const decisions::admission::RequestTicket &ticket, AdmissionHandler onVerdict)
{
    decisions::admission::OfferResult result;
    {
        const std::scoped_lock lock(m_mutex);
        result = m_controller.offer(ticket, m_clock.now());
        if (std::holds_alternative<decisions::admission::Queued>(result)) {
            m_handlers.emplace(ticket.id, std::move(onVerdict));
            return;
        }
    }
    if (const auto *refused = std::get_if<decisions::admission::Refused>(&result)) {
        onVerdict(refused->error);
        return;
    }
    onVerdict(std::get<decisions::admission::Admitted>(result));
}

void AdmissionTable::completed(decisions::admission::TicketId id)
{
    change([id](auto &controller, core::TimePoint now) { controller.completed(id, now); });
}

void AdmissionTable::cancelled(decisions::admission::TicketId id)
{
    change([this, id](auto &controller, core::TimePoint now) {
        m_handlers.erase(id);
        controller.cancelled(id, now);
    });
}

std::size_t AdmissionTable::inFlight() const
{
    const std::scoped_lock lock(m_mutex);
    return m_controller.inFlight();
}

std::size_t AdmissionTable::queued() const
{
    const std::scoped_lock lock(m_mutex);
    return m_controller.queued();
}

} // namespace lycheelanding::daemon::entry

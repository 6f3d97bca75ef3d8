#include "lycheelanding/forwarding/coldtracker.h"

#include <chrono>
#include <utility>
#include <variant>

namespace lycheelanding::forwarding {

namespace {

using namespace decisions::intake;

std::int64_t millisecondsOf(core::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

void ColdTracker::configure(const std::vector<Service> &services, core::TimePoint now)
{
    std::map<core::ServiceId, ColdTerms> terms;
    for (const auto &service : services) {
        if (service.cold) {
            terms.insert_or_assign(service.id, *service.cold);
            continue;
        }
        m_metrics.increment(report::Counter::ColdTimesInvalid);
        m_log.write(LogImportance::State, "coldTermsInvalid", {{"service", service.id.text()}});
        if (const auto known = m_terms.find(service.id); known != m_terms.end()) {
            terms.insert(*known);
        }
    }
    m_terms = terms;
    apply(m_cold.setTerms(std::move(terms), now), now);
}

void ColdTracker::registered(const ColdRegistration &registration, core::TimePoint now)
{
    // A missing time makes the whole registration unreadable, so that this one is out of range.
    if (!registration.remaining) {
        m_metrics.increment(report::Counter::ColdTimesInvalid);
        if (m_backends.intake().unreadable(registration.backend, now)) {
            m_log.write(LogImportance::State, "backendFieldUnreadable",
                        {{"backend", registration.backend.text()}, {"field", "coldRemaining"}});
        }
    }
    apply(m_cold.registered(registration, now), now);
}

void ColdTracker::answered(const ColdAnswer &answer, core::TimePoint now)
{
    apply(m_cold.answered(answer, now), now);
}

void ColdTracker::tick(core::TimePoint now)
{
    apply(m_cold.tick(now), now);
}

void ColdTracker::apply(const ColdChanges &changes, core::TimePoint now)
{
    for (const auto &change : changes) {
        std::visit([this, now](const auto &each) { apply(each, now); }, change);
    }
    if (!changes.empty()) {
        m_metrics.set(report::Gauge::BackendsCold, m_cold.coldCount());
    }
}

void ColdTracker::apply(const BackendCold &cold, core::TimePoint now)
{
    const ColdRate rate{cold.perSecond, m_bounds.overage, m_bounds.slack};
    m_backends.intake().setCold({cold.backend, cold.service, rate, cold.until}, now);
    if (!cold.isNew) {
        return;
    }
    m_metrics.increment(report::Counter::BackendColdStarts);
    m_log.write(LogImportance::State, "backendCold",
                {{"backend", cold.backend.text()},
                 {"source", nameOf(cold.source)},
                 {"ageMs", millisecondsOf(cold.age)},
                 {"version", static_cast<std::int64_t>(cold.revision)},
                 {"remainingMs", millisecondsOf(cold.until - now)}});
}

void ColdTracker::apply(const BackendWarm &warm, core::TimePoint)
{
    m_backends.intake().endCold(warm.backend);
    m_log.write(LogImportance::State, "backendWarm",
                {{"backend", warm.backend.text()},
                 {"source", nameOf(warm.source)},
                 {"ageMs", millisecondsOf(warm.age)},
                 {"version", static_cast<std::int64_t>(warm.revision)}});
}

} // namespace lycheelanding::forwarding

#include "lycheelanding/forwarding/capacityreporter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lycheelanding::forwarding {

namespace {

/// Estimates change with each answer; a line each second is enough to follow them.
constexpr std::chrono::seconds reportInterval{1};
/// Time between two lines about one backend server: a limit may come and go every few seconds.
constexpr std::chrono::seconds minLineInterval{5};
/// A backend server counts as slow from this factor on. It then gets less than a third of the requests of the fastest
/// one.
constexpr double slowFactor = 1.5;

std::int64_t percent(double factor)
{
    return std::llround(factor * 100.0);
}

} // namespace

void CapacityReporter::advance(core::TimePoint now)
{
    if (now < m_nextAt) {
        return;
    }
    m_nextAt = now + reportInterval;
    std::uint64_t slow = 0;
    std::uint64_t limited = 0;
    for (const auto &[id, backend] : m_backends.all()) {
        if (m_backends.isAdaptive(backend)) {
            const double slowness = m_backends.capacity().slowness(selectorId(id), now);
            const auto limit = m_backends.capacity().limit(selectorId(id), now);
            slow += slowness >= slowFactor ? 1 : 0;
            limited += limit ? 1 : 0;
            report(id, slowness, limit, now);
        }
    }
    std::erase_if(m_reported, [this](const auto &item) { return !m_backends.find(item.first); });
    m_metrics.set(report::Gauge::BackendsSlow, slow);
    m_metrics.set(report::Gauge::BackendsLimited, limited);
    countSamples();
}

void CapacityReporter::report(const BackendId &id, double slowness, std::optional<std::size_t> limit,
                              core::TimePoint now)
{
    const auto known = m_reported.find(id);
    const auto last = known != m_reported.end() ? known->second : Reported();
    const double change = std::max(slowness / last.slowness, last.slowness / slowness);
    const bool isNotable = change >= slowFactor || limit.has_value() != last.limit.has_value();
    if (!isNotable || (known != m_reported.end() && now - last.at < minLineInterval)) {
        return;
    }
    m_reported.insert_or_assign(id, Reported{slowness, limit, now});
    m_log.write(LogImportance::State, "backendCapacityChanged",
                {{"backend", id.text()},
                 {"slownessPercent", percent(slowness)},
                 {"slownessPercentBefore", percent(last.slowness)},
                 {"limit", static_cast<std::int64_t>(limit.value_or(0))},
                 {"isLimited", static_cast<std::int64_t>(limit ? 1 : 0)}});
}

void CapacityReporter::countSamples()
{
    const auto &capacity = m_backends.capacity();
    const auto accepted = capacity.acceptedSamples();
    const auto dropped = capacity.droppedSamples();
    m_metrics.increment(report::Counter::ResponseTimeSamples, accepted - std::exchange(m_accepted, accepted));
    m_metrics.increment(report::Counter::ResponseTimeSamplesDropped, dropped - std::exchange(m_dropped, dropped));
}

} // namespace lycheelanding::forwarding

#include "lycheelanding/forwarding/callermemorymetrics.h"

#include <utility>

namespace lycheelanding::forwarding {

namespace {

/// Hundreds of connections may be closed in a second, which is one line of the log.
constexpr std::chrono::seconds reportInterval{1};

} // namespace

bool CallerMemoryMetrics::record(const http::CallerMemory &memory, report::Metrics &metrics, core::TimePoint now)
{
    metrics.set(report::Gauge::CallerMemoryBytes, memory.heldBytes());
    metrics.set(report::Gauge::CallerMemoryLimitBytes, memory.limitBytes());
    metrics.set(report::Gauge::ConnectionsWaitingForMemory, memory.waitingConnections());
    advance(m_closed, memory.closedConnections(), report::Counter::ConnectionsClosedForMemory, metrics);
    advance(m_refused, memory.refusedRequests(), report::Counter::RequestsRefusedForMemory, metrics);
    advance(m_replaced, memory.replacedConnections(), report::Counter::ConnectionsReplaced, metrics);
    const auto sum = m_closed + m_refused + m_replaced;
    if (sum == m_reported || now < m_nextReport) {
        return false;
    }
    m_reported = sum;
    m_nextReport = now + reportInterval;
    return true;
}

void CallerMemoryMetrics::advance(std::uint64_t &last, std::uint64_t value, report::Counter counter,
                                  report::Metrics &metrics)
{
    metrics.increment(counter, value - std::exchange(last, value));
}

} // namespace lycheelanding::forwarding

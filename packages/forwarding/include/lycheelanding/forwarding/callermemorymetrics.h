#pragma once

#include "lycheelanding/http/callermemory.h"
#include "lycheelanding/report/metrics.h"

#include <cstdint>

namespace lycheelanding::forwarding {

/// Copies the state of a memory account to the metrics of the process.
class CallerMemoryMetrics
{
public:
    /// Returns whether callers have been limited since it last returned true, which it does once a second at most.
    bool record(const http::CallerMemory &memory, report::Metrics &metrics, core::TimePoint now);

private:
    /// Increments the counter by the difference to the last value.
    static void advance(std::uint64_t &last, std::uint64_t value, report::Counter counter, report::Metrics &metrics);

    std::uint64_t m_closed = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_replaced = 0;
    std::uint64_t m_reported = 0;
    core::TimePoint m_nextReport;
};

} // namespace lycheelanding::forwarding

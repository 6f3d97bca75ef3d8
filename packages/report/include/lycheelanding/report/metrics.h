#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/errorkind.h"
#include "lycheelanding/report/counters.h"
#include "lycheelanding/report/latencysummary.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>

namespace lycheelanding::report {

/// All metrics of one process. Thread-safe; no other lock is acquired while its lock is held.
class Metrics
{
public:
    void increment(Counter counter, std::uint64_t amount = 1);
    /// Counts an answer that carries an error of this kind.
    void countRefusal(core::ErrorKind kind);
    void set(Gauge gauge, std::uint64_t value);
    void record(Latency latency, core::Duration duration, core::TimePoint now);

    std::uint64_t value(Counter counter) const;
    std::uint64_t value(Gauge gauge) const;
    std::uint64_t refusals(core::ErrorKind kind) const;
    LatencyStatistics statistics(Latency latency, core::TimePoint now) const;

    /// Prometheus text exposition format 0.0.4, durations in seconds.
    std::string prometheusText(core::TimePoint now) const;

private:
    std::array<std::atomic<std::uint64_t>, counterCount> m_counters{};
    std::array<std::atomic<std::uint64_t>, gaugeCount> m_gauges{};
    std::array<std::atomic<std::uint64_t>, core::errorKindCount> m_refusals{};
    mutable std::mutex m_latencyMutex;
    std::array<LatencySummary, latencyCount> m_latencies;
};

} // namespace lycheelanding::report

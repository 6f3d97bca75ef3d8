#pragma once

#include "lycheelanding/forwarding/backendset.h"
#include "lycheelanding/forwarding/eventlog.h"
#include "lycheelanding/report/metrics.h"

#include <cstdint>
#include <map>
#include <optional>

namespace lycheelanding::forwarding {

/// Logs notable changes of the estimated speed and limit of plain backend servers, and counts them. Used on one thread.
class CapacityReporter
{
public:
    CapacityReporter(const BackendSet &backends, EventLog &log, report::Metrics &metrics)
        : m_backends(backends), m_log(log), m_metrics(metrics)
    { }

    /// To be called often.
    void advance(core::TimePoint now);

private:
    struct Reported
    {
        double slowness = 1.0;
        std::optional<std::size_t> limit;
        core::TimePoint at;
    };

    /// Logs the estimates of a backend server if they have changed notably since the last line about it.
    void report(const BackendId &id, double slowness, std::optional<std::size_t> limit, core::TimePoint now);
    void countSamples();

    const BackendSet &m_backends;
    EventLog &m_log;
    report::Metrics &m_metrics;
    core::TimePoint m_nextAt;
    std::map<BackendId, Reported> m_reported;
    std::uint64_t m_accepted = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace lycheelanding::forwarding

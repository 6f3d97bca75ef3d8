#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/report/metrics.h"
#include "lycheelanding/services/keyvaluestore.h"

#include <chrono>
#include <string>

namespace lycheelanding::daemon::entry {

/// Client of the key-value service that records the number, failures and latency of its calls in the metrics.
class InstrumentedStore
{
public:
    InstrumentedStore(services::HttpKeyValueStore store, report::Metrics &metrics);

    void read(const std::string &key, services::ReadHandler onRead);
    void write(const std::string &key, std::string value, std::uint64_t expectedRevision,
               services::WriteHandler onWritten);
    void watch(const std::string &key, std::uint64_t afterRevision, std::chrono::milliseconds wait,
               services::ReadHandler onRead);

private:
    void recordCall(core::TimePoint startedAt, bool hasSucceeded);

    services::HttpKeyValueStore m_store;
    report::Metrics &m_metrics;
    core::SystemClock m_clock;
};

static_assert(services::KeyValueStore<InstrumentedStore>);

} // namespace lycheelanding::daemon::entry

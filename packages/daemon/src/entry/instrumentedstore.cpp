#include "entry/instrumentedstore.h"

#include <utility>

namespace lycheelanding::daemon::entry {

using report::Counter;

InstrumentedStore::InstrumentedStore(services::HttpKeyValueStore store, report::Metrics &metrics)
    : m_store(std::move(store)), m_metrics(metrics)
{ }

void InstrumentedStore::read(const std::string &key, services::ReadHandler onRead)
{
    m_metrics.increment(Counter::StoreReads);
    m_store.read(key, [this, startedAt = m_clock.now(), onRead = std::move(onRead)](const auto &result) {
        recordCall(startedAt, core::isOk(result));
        onRead(result);
    });
}

void InstrumentedStore::write(const std::string &key, std::string value, std::uint64_t expectedRevision,
                              services::WriteHandler onWritten)
{
    m_metrics.increment(Counter::StoreWrites);
    m_store.write(key, std::move(value), expectedRevision,
                  [this, startedAt = m_clock.now(), onWritten = std::move(onWritten)](const auto &answer) {
                      using services::WriteOutcome;
                      recordCall(startedAt,
                                 answer.outcome == WriteOutcome::Written || answer.outcome == WriteOutcome::Conflict);
                      onWritten(answer);
                  });
}

void InstrumentedStore::watch(const std::string &key, std::uint64_t afterRevision, std::chrono::milliseconds wait,
                              services::ReadHandler onRead)
{
    m_metrics.increment(Counter::StoreWatches);
    // A watch waits for a change, so its duration is not recorded as call latency.
    m_store.watch(key, afterRevision, wait, [this, onRead = std::move(onRead)](const auto &result) {
        if (!core::isOk(result)) {
            m_metrics.increment(Counter::StoreFailures);
        }
        onRead(result);
    });
}

void InstrumentedStore::recordCall(core::TimePoint startedAt, bool hasSucceeded)
{
    const auto now = m_clock.now();
    m_metrics.record(report::Latency::StoreCall, now - startedAt, now);
    if (!hasSucceeded) {
        m_metrics.increment(Counter::StoreFailures);
    }
}

} // namespace lycheelanding::daemon::entry

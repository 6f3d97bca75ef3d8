#include "engine/enginereports.h"

#include <utility>

namespace lycheelanding::standins::engine {

namespace {

constexpr std::size_t maxEvents = 10'000;
/// One cache event out of this many is never reported.
constexpr std::uint64_t lostEventInterval = 8;

Json loadOf(const std::vector<RankBatch> &batches)
{
    std::size_t running = 0;
    std::size_t queued = 0;
    std::uint64_t outstanding = 0;
    Json ranks = Json::array();
    for (const auto &batch : batches) {
        running += batch.runningCount();
        queued += batch.queuedCount();
        outstanding += batch.outstandingTokens();
        ranks.push_back({{"rank", batch.rank()}, {"outstandingTokens", batch.outstandingTokens()}});
    }
    return {{"running", running}, {"queued", queued}, {"outstandingTokens", outstanding}, {"ranks", ranks}};
}

} // namespace

void EngineReports::recordLoad(const std::vector<RankBatch> &batches, SteadyTime now)
{
    m_loads.push_back({now, loadOf(batches)});
    // Keeps the newest load that is at least as old as the lag: load() reports it.
    while (m_loads.size() > 1 && m_loads[1].recordedAt + m_reportLag <= now) {
        m_loads.pop_front();
    }
}

void EngineReports::recordCacheEvents(std::vector<CacheEvent> events, SteadyTime now)
{
    for (auto &event : events) {
        event.number = ++m_lastEventNumber;
        m_events.push_back({now, event});
    }
    while (m_events.size() > maxEvents) {
        m_events.pop_front();
    }
}

Json EngineReports::load(SteadyTime now) const
{
    Json load = loadOf({});
    SteadyTime recordedAt = now - m_reportLag;
    for (const auto &timed : m_loads) {
        if (timed.recordedAt + m_reportLag <= now) {
            load = timed.load;
            recordedAt = timed.recordedAt;
        }
    }
    load["atMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(recordedAt.time_since_epoch()).count();
    return load;
}

Json EngineReports::cacheEvents(std::uint64_t after, SteadyTime now) const
{
    Json reported = Json::array();
    for (const auto &timed : m_events) {
        const CacheEvent &event = timed.event;
        if (event.number <= after || timed.recordedAt + m_reportLag > now || event.number % lostEventInterval == 0) {
            continue;
        }
        reported.push_back({{"number", event.number},
                            {"kind", event.kind == CacheEventKind::Stored ? "stored" : "evicted"},
                            {"rank", event.rank},
                            {"block", event.block}});
    }
    return {{"events", reported}};
}

} // namespace lycheelanding::standins::engine

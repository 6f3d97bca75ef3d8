#pragma once

#include "engine/rankbatch.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <vector>

namespace lycheelanding::standins::engine {

using SteadyTime = std::chrono::steady_clock::time_point;

/// Load and cache event reports of the engine. Both lag behind, and some cache events are missing.
class EngineReports
{
public:
    explicit EngineReports(std::chrono::milliseconds lag) : m_reportLag(lag) { }

    void recordLoad(const std::vector<RankBatch> &batches, SteadyTime now);
    void recordCacheEvents(std::vector<CacheEvent> events, SteadyTime now);

    /// The newest load that is at least as old as the lag.
    Json load(SteadyTime now) const;
    /// Events with numbers above `after` that are at least as old as the lag.
    Json cacheEvents(std::uint64_t after, SteadyTime now) const;

private:
    struct TimedLoad
    {
        SteadyTime recordedAt;
        Json load;
    };

    struct TimedEvent
    {
        SteadyTime recordedAt;
        CacheEvent event;
    };

    const std::chrono::milliseconds m_reportLag;
    std::deque<TimedLoad> m_loads;
    std::deque<TimedEvent> m_events;
    std::uint64_t m_lastEventNumber = 0;
};

} // namespace lycheelanding::standins::engine

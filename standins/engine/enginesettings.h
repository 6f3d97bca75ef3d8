#pragma once

#include "common/httphelpers.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// Stand-in for a model engine process that holds several ranks of a lock-step rank group.
namespace lycheelanding::standins::engine {

using common::Json;

using Rank = std::uint32_t;
using Step = std::uint64_t;
using MapVersion = std::uint64_t;
using Generation = std::uint64_t;
using Incarnation = std::uint64_t;

struct EngineSettings
{
    std::string group = "group";
    std::vector<Rank> ranks{0};
    Rank groupSize = 1;
    /// "IP:PORT" of the engine that holds rank 0; empty for that engine itself.
    std::string rankZero;
    std::uint32_t experts = 8;
    std::uint32_t layers = 2;
    std::uint32_t slotsPerRank = 4;
    std::chrono::milliseconds stepTime{20};
    /// Whether map commands with a stale fencing token are refused.
    bool honoursFencing = true;
    /// Base URL; when empty, experts load at once.
    std::string weightStore;
    /// Age of the load and cache event reports.
    std::chrono::milliseconds loadLag{0};
    std::string model = "model";
    std::string modelVersion = "1";
    /// Maximum number of requests that a rank runs at a time.
    std::uint32_t batchSize = 16;
    std::uint32_t prefillTokensPerStep = 64;
    /// Capacity of the prefix cache of a rank, in blocks.
    std::uint32_t cacheBlocks = 256;
    Generation generation = 1;
    std::uint64_t driftSeed = 1;
    /// Steps in which the popularity of experts drifts from one distribution to the next.
    Step driftPeriodSteps = 500;

    bool holdsRankZero() const { return rankZero.empty(); }
};

/// Throws Json::exception when a value has the wrong type.
EngineSettings engineSettingsFrom(const Json &json);

} // namespace lycheelanding::standins::engine

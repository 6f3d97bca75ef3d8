#pragma once

#include "common/httphelpers.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// A model engine process that holds several ranks of a lock-step rank group.
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
    /// "IP:PORT" of the engine that holds rank 0; empty when it is this one.
    std::string rankZero;
    std::uint32_t experts = 8;
    std::uint32_t layers = 2;
    std::uint32_t slotsPerRank = 4;
    std::chrono::milliseconds stepTime{20};
    bool honoursFencing = true;
    /// Base URL; empty means that experts load at once.
    std::string weightStore;
    std::chrono::milliseconds loadLag{0};
    std::string model = "model";
    std::string modelVersion = "1";
    /// Requests that a rank runs at a time.
    std::uint32_t batchSize = 16;
    std::uint32_t prefillTokensPerStep = 64;
    /// Blocks of prompt that a rank keeps in its prefix cache.
    std::uint32_t cacheBlocks = 256;
    Generation generation = 1;
    std::uint64_t driftSeed = 1;
    /// Steps after which the popularity of experts has moved on.
    Step driftPeriodSteps = 500;

    bool holdsRankZero() const { return rankZero.empty(); }
};

/// Throws Json::exception when a value has the wrong type.
EngineSettings engineSettingsFrom(const Json &json);

} // namespace lycheelanding::standins::engine

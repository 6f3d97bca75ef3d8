#include "engine/enginesettings.h"

#include <numeric>

namespace lycheelanding::standins::engine {

namespace {

template <typename Value>
void read(const Json &json, const char *key, Value &value)
{
    value = json.value(key, value);
}

void readMilliseconds(const Json &json, const char *key, std::chrono::milliseconds &value)
{
    value = std::chrono::milliseconds(json.value(key, value.count()));
}

} // namespace

EngineSettings engineSettingsFrom(const Json &json)
{
    EngineSettings settings;
    read(json, "group", settings.group);
    read(json, "groupSize", settings.groupSize);
    settings.ranks.resize(settings.groupSize);
    std::iota(settings.ranks.begin(), settings.ranks.end(), 0);
    read(json, "ranks", settings.ranks);
    read(json, "rankZero", settings.rankZero);
    read(json, "experts", settings.experts);
    read(json, "layers", settings.layers);
    read(json, "slotsPerRank", settings.slotsPerRank);
    readMilliseconds(json, "stepMs", settings.stepTime);
    read(json, "honoursFencing", settings.honoursFencing);
    read(json, "weightStore", settings.weightStore);
    readMilliseconds(json, "loadLagMs", settings.loadLag);
    read(json, "model", settings.model);
    read(json, "modelVersion", settings.modelVersion);
    read(json, "batchSize", settings.batchSize);
    read(json, "prefillTokensPerStep", settings.prefillTokensPerStep);
    read(json, "cacheBlocks", settings.cacheBlocks);
    read(json, "generation", settings.generation);
    read(json, "driftSeed", settings.driftSeed);
    read(json, "driftPeriodSteps", settings.driftPeriodSteps);
    return settings;
}

} // namespace lycheelanding::standins::engine

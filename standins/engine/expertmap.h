#pragma once

#include "engine/enginesettings.h"

#include <cstdint>
#include <vector>

namespace lycheelanding::standins::engine {

/// Ranks that hold each expert of each layer: layers[layer][expert] lists ranks.
struct ExpertMap
{
    std::vector<std::vector<std::vector<Rank>>> layers;
};

struct LayerExpert
{
    std::uint32_t layer = 0;
    std::uint32_t expert = 0;

    bool operator==(const LayerExpert &) const = default;
};

/// Experts dealt to the ranks in turn.
ExpertMap initialMap(const EngineSettings &settings);
ExpertMap mapFrom(const Json &json);
Json toJson(const ExpertMap &map);

/// Experts that `ranks` hold under `target` and do not under `current`, once for each rank.
std::vector<LayerExpert> expertsToLoad(const ExpertMap &current, const ExpertMap &target,
                                       const std::vector<Rank> &ranks);

using ExpertCounts = std::vector<std::vector<std::uint64_t>>;

/// Tokens by layer and expert in the period of `step`: a skewed popularity that drifts with the steps.
ExpertCounts expertCounts(const EngineSettings &settings, Step step);

/// How much longer a step takes than with evenly loaded ranks; 1 is the least.
double stepTimeFactor(const EngineSettings &settings, const ExpertMap &map, const ExpertCounts &counts);

} // namespace lycheelanding::standins::engine

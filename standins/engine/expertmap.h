#pragma once

#include "engine/enginesettings.h"

#include <cstdint>
#include <vector>

namespace lycheelanding::standins::engine {

/// Placement of experts: layers[layer][expert] lists the ranks that hold the expert.
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

/// Assigns the experts of each layer to the ranks round-robin.
ExpertMap initialMap(const EngineSettings &settings);
ExpertMap mapFrom(const Json &json);
Json toJson(const ExpertMap &map);

/// Experts that `ranks` hold in `target` but not in `current`; an expert appears once per rank that has to load it.
std::vector<LayerExpert> expertsToLoad(const ExpertMap &current, const ExpertMap &target,
                                       const std::vector<Rank> &ranks);

/// Token counts, indexed by layer and expert.
using ExpertCounts = std::vector<std::vector<std::uint64_t>>;

/// Token counts at `step`: a skewed popularity that drifts as the steps advance.
ExpertCounts expertCounts(const EngineSettings &settings, Step step);

/// Step duration relative to evenly loaded ranks, at least 1: the most loaded rank sets it.
double stepTimeFactor(const EngineSettings &settings, const ExpertMap &map, const ExpertCounts &counts);

} // namespace lycheelanding::standins::engine

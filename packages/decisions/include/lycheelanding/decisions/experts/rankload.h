#pragma once

#include "lycheelanding/decisions/experts/expertmap.h"

#include <span>
#include <vector>

namespace lycheelanding::decisions::experts {

/// Load of each rank in one layer, when the tokens of an expert are split evenly over its replicas.
/// `tokens` holds one value per expert: a token count or a share.
std::vector<double> rankLoads(const ExpertMap &map, core::LayerIndex layer, std::span<const double> tokens);

/// Load of one step of a rank group: the slowest rank of each layer determines the duration of that layer.
struct StepLoad
{
    /// Sum over the layers of the load of the slowest rank.
    double slowest = 0;
    /// Sum over the layers of the mean load of the ranks.
    double mean = 0;

    /// `slowest` divided by `mean`: 1 is a perfect split, and the result when there is no load.
    double skew() const { return mean > 0 ? slowest / mean : 1; }
};

/// Adds one layer, whose load is split over `ranks` ranks, to a step.
void addLayer(StepLoad &step, std::span<const double> loads, std::size_t ranks);

} // namespace lycheelanding::decisions::experts

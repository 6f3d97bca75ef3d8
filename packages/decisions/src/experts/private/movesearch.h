#pragma once

#include "experts/private/layerbalancer.h"
#include "lycheelanding/decisions/experts/expertmap.h"

#include <cstddef>
#include <vector>

namespace lycheelanding::decisions::experts {

/// Successive changes of one layer that are worth their cost only together.
struct ChangeGroup
{
    std::size_t layer = 0;
    std::vector<ReplicaChange> changes;
    double gain = 0;
    double cost = 0;
    int loads = 0;

    double gainPerCost() const { return cost > 0 ? gain / cost : 0; }
};

/// Limits on the changes that a search may select.
struct SearchLimits
{
    /// Minimum gain in a layer's potential per replica load of cost.
    double gainPerCost = 0;
    int loads = 0;
    /// Maximum loads of one rank, which loads sequentially; 0 means no limit.
    int loadsPerRank = 0;
};

/// The changes of a layer in the order in which they apply, in groups of decreasing gain per cost.
std::vector<ChangeGroup> searchLayer(LayerBalancer balancer, std::size_t layer, const SearchLimits &limits);

/// The groups to apply within the limits, highest gain per cost first. Keeps the order within a layer; skips all groups
/// of a layer after a skipped one.
std::vector<ChangeGroup> selectGroups(std::vector<ChangeGroup> groups, const SearchLimits &limits);

} // namespace lycheelanding::decisions::experts

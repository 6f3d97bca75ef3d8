#pragma once

#include "experts/private/layerbalancer.h"
#include "lycheelanding/decisions/experts/expertmap.h"

#include <cstddef>
#include <vector>

namespace lycheelanding::decisions::experts {

/// Successive changes of one layer that are only worth their cost together.
struct ChangeGroup
{
    std::size_t layer = 0;
    std::vector<ReplicaChange> changes;
    double gain = 0;
    double cost = 0;
    int loads = 0;

    double gainPerCost() const { return cost > 0 ? gain / cost : 0; }
};

/// What a search may spend.
struct SearchLimits
{
    /// Smallest gain in a layer's potential for a cost of one load.
    double gainPerCost = 0;
    int loads = 0;
    /// Loads of one rank, which it makes one after the other; 0 sets no limit.
    int loadsPerRank = 0;
};

/// The changes of a layer in the order in which they apply, in groups of falling gain for their cost.
std::vector<ChangeGroup> searchLayer(LayerBalancer balancer, std::size_t layer, const SearchLimits &limits);

/// The groups to carry out, the largest gain for its cost first, within the limits. Within a layer the order stays,
/// and none follows a group that is left out.
std::vector<ChangeGroup> selectGroups(std::vector<ChangeGroup> groups, const SearchLimits &limits);

} // namespace lycheelanding::decisions::experts

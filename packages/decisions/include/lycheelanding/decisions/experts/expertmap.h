#pragma once

#include "lycheelanding/core/ids.h"

#include <cstddef>
#include <cstdint>
#include <vector>

/// Placement of experts on the ranks of a group: expert map, token counts and planner.
namespace lycheelanding::decisions::experts {

/// Sizes of an expert map. A slot holds the weights of one expert of one layer.
struct MapShape
{
    std::size_t ranks = 0;
    std::size_t experts = 0;
    std::size_t layers = 0;
    /// Slots of each rank in each layer.
    std::size_t slotsPerRank = 0;

    bool operator==(const MapShape &) const = default;
};

/// One replica: `rank` holds the weights of `expert` of `layer`.
struct Placement
{
    core::RankIndex rank;
    core::LayerIndex layer;
    core::ExpertIndex expert;

    auto operator<=>(const Placement &) const = default; // NOLINT(modernize-use-nullptr)
};

/// Which ranks hold a replica of each expert of each layer. Indices must lie within the shape.
class ExpertMap
{
public:
    ExpertMap() = default;
    /// A map without any replica.
    ExpertMap(const MapShape &shape, core::MapVersion version);

    void setVersion(core::MapVersion version) { m_version = version; }
    /// Adds a replica; does nothing if the rank already holds one. Does not check slots: see respectsSlots().
    void addReplica(core::LayerIndex layer, core::ExpertIndex expert, core::RankIndex rank);
    /// Removes a replica; does nothing if the rank holds none.
    void removeReplica(core::LayerIndex layer, core::ExpertIndex expert, core::RankIndex rank);
    /// Removes every replica of a rank.
    void clearRank(core::RankIndex rank);

    core::MapVersion version() const { return m_version; }
    const MapShape &shape() const { return m_shape; }
    /// The ranks that hold a replica, in ascending order.
    const std::vector<core::RankIndex> &ranksOf(core::LayerIndex layer, core::ExpertIndex expert) const;
    /// The experts of a layer that a rank holds, in ascending order.
    std::vector<core::ExpertIndex> expertsOn(core::LayerIndex layer, core::RankIndex rank) const;
    bool holds(const Placement &placement) const;
    std::size_t usedSlots(core::LayerIndex layer, core::RankIndex rank) const;
    /// True when no rank holds more replicas of a layer than it has slots.
    bool respectsSlots() const;
    /// True when every expert of every layer has a replica and the slots are respected.
    bool isComplete() const;
    /// Like isComplete(), but counts only replicas on the ranks in `available`.
    bool isCompleteOn(const std::vector<core::RankIndex> &available) const;

    /// Compares versions, shapes and placements.
    bool operator==(const ExpertMap &) const = default;

private:
    std::size_t cellIndex(core::LayerIndex layer, core::ExpertIndex expert) const;

    MapShape m_shape;
    core::MapVersion m_version;
    std::vector<std::vector<core::RankIndex>> m_ranks;
};

/// Replicas that each rank must load before `to` can replace `from`, ordered by rank. Both maps have the same shape.
std::vector<Placement> placementsToLoad(const ExpertMap &from, const ExpertMap &to);

/// A map that ignores token counts: distributes the experts round-robin over the ranks, then further replicas while
/// slots are free. It is complete if slotsPerRank * ranks >= experts.
ExpertMap roundRobinMap(const MapShape &shape, core::MapVersion version);

} // namespace lycheelanding::decisions::experts

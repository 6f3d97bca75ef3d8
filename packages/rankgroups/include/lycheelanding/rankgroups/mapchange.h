#pragma once

#include "lycheelanding/rankgroups/expertlists.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace lycheelanding::rankgroups {

/// A map as its difference from another one, the base. Maps are identified by their content, so that a change can be
/// applied to nothing but its base, whoever has sent the base and under which version.
struct MapChange
{
    /// Sizes of the base, from which a side works out the map that a group is formed with.
    std::uint32_t layers = 0;
    std::uint32_t ranks = 0;
    std::uint32_t experts = 0;
    /// Content hashes of the base and of the result.
    std::uint64_t baseHash = 0;
    std::uint64_t resultHash = 0;
    /// The experts to remove from each list and to add to it, packed.
    std::string edits;
};

std::uint64_t contentHashOf(const ExpertLists &map);
/// The map that engines form a group with: each expert on one rank, in turn. Empty for sizes that no map has.
ExpertLists mapDealtInTurn(std::uint32_t layers, std::uint32_t ranks, std::uint32_t experts);
/// Both maps have the same number of layers and ranks, and sorted lists.
MapChange changeBetween(const ExpertLists &base, const ExpertLists &next);
/// Empty if the change belongs to another base or its edits are invalid.
std::optional<ExpertLists> applyChange(const ExpertLists &base, const MapChange &change);

/// The latest maps that a side has received, as bases for changes.
class KnownMaps
{
public:
    void add(std::shared_ptr<const ExpertLists> map);
    /// The result of the change; null if its base is unknown. A result that was added before needs no base, and a base
    /// that is dealt in turn need not have been added.
    std::shared_ptr<const ExpertLists> resolve(const MapChange &change) const;

private:
    struct KnownMap
    {
        std::uint64_t hash = 0;
        std::shared_ptr<const ExpertLists> map;
    };

    std::shared_ptr<const ExpertLists> find(std::uint64_t hash) const;
    std::shared_ptr<const ExpertLists> baseOf(const MapChange &change) const;

    /// In the order of their last add().
    std::deque<KnownMap> m_maps;
};

} // namespace lycheelanding::rankgroups

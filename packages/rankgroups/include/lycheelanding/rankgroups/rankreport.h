#pragma once

#include "lycheelanding/core/ids.h"
#include "lycheelanding/decisions/mapswitch/rankcommands.h"
#include "lycheelanding/rankgroups/expertlists.h"
#include "lycheelanding/rankgroups/mapchange.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Rank groups whose engines switch expert maps on command: the status that sides report, and the leader of each group.
namespace lycheelanding::rankgroups {

/// State and load of a rank as its engine reports them.
struct RankReport
{
    /// Empty if the backend server belongs to no group.
    core::GroupId group;
    core::RankIndex rank;
    /// Number of ranks in the group.
    std::uint32_t groupSize = 0;
    /// Whether the group is open, that is, executes steps.
    bool isOpen = false;
    decisions::mapswitch::RankState state;
    /// Fencing token that was installed at the engine, in the state's generation, before the state was read; 0 if
    /// unknown.
    decisions::mapswitch::FencingToken installedFencingToken;
    /// Number of queued requests and of running ones.
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    /// Used and total capacity of the KV cache in tokens.
    std::uint64_t usedKvTokens = 0;
    std::uint64_t totalKvTokens = 0;
    /// Slowness relative to usual, as the engine reports it: above 1 if the engine is slower.
    double slowness = 1.0;
};

/// How often the requests of a rank chose each expert since the rank started: one count per expert, layer after layer.
using ChoiceCounts = std::vector<std::uint32_t>;
/// Indices of the experts that a rank holds, by layer.
using HeldExperts = std::vector<std::vector<std::uint32_t>>;

/// A command with everything that a request to the engine's interface needs.
struct EngineCommandRequest
{
    decisions::mapswitch::EngineCommand command;
    decisions::mapswitch::FencingToken fencingToken;
    /// Only for Prepare: the map. The commands to all ranks share it.
    std::shared_ptr<const ExpertLists> experts;
    /// Only for Prepare: what a side gets in place of `experts`; null if it needs the whole map.
    std::shared_ptr<const MapChange> change = nullptr;
};

} // namespace lycheelanding::rankgroups

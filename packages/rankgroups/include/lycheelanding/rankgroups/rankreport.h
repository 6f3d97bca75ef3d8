#pragma once

#include "lycheelanding/core/ids.h"
#include "lycheelanding/decisions/mapswitch/rankcommands.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Rank groups whose engines switch maps by orders: what sides know of them, and the leader of each group.
namespace lycheelanding::rankgroups {

/// What an engine says of its rank and of its load.
struct RankReport
{
    /// Empty for a backend server that belongs to no group.
    core::GroupId group;
    core::RankIndex rank;
    /// Ranks of the group.
    std::uint32_t groupSize = 0;
    /// Whether the group steps.
    bool isOpen = false;
    decisions::mapswitch::RankState state;
    /// The engine had been shown this fencing number in the state's generation before it was read; 0 where that is not
    /// known.
    decisions::mapswitch::FencingToken installedFencingToken;
    /// Requests that wait and that run.
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    /// Tokens of KV cache in use and in all.
    std::uint64_t usedKvTokens = 0;
    std::uint64_t totalKvTokens = 0;
    /// Above 1 where the engine is slower than usual.
    double slowness = 1.0;
};

/// How often each expert of each layer was chosen by a rank's requests since the rank started, layer by layer.
using ChoiceCounts = std::vector<std::uint32_t>;
/// The experts that a rank holds, by layer.
using HeldExperts = std::vector<std::vector<std::uint32_t>>;

/// A command as the engine's interface needs it.
struct EngineCommandRequest
{
    decisions::mapswitch::EngineCommand command;
    decisions::mapswitch::FencingToken fencingToken;
    /// With Prepare: the experts by layer and rank.
    std::vector<std::vector<std::vector<std::uint32_t>>> experts;
};

} // namespace lycheelanding::rankgroups

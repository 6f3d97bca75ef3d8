#pragma once

#include "lycheelanding/wire/messages.h"

namespace lycheelanding::wire {

enum class MapSwitchOrderKind : std::uint8_t {
    /// Report the state.
    Query,
    /// Load the experts of a map while the active map stays active.
    Stage,
    /// Hold the ranks before a step until the decision is known.
    Arm,
    /// The decision: use a map from the step on; the previously active map if the switch failed.
    Decide,
};

/// Order of the coordinator of a rank group to one of its members.
struct MapSwitchOrder
{
    static constexpr auto type = MessageType::MapSwitchOrder;

    core::GroupId group;
    MapSwitchOrderKind kind = MapSwitchOrderKind::Query;
    core::Generation generation;
    core::Incarnation coordinator;
    std::uint64_t session = 0;
    std::uint64_t fencingToken = 0;
    core::MapVersion map;
    core::StepNumber step;
    /// The map as JSON in Stage orders; empty in others.
    std::string mapText;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(group, kind, generation, coordinator, session, fencingToken, map, step, mapText);
    }
};

/// Full state of a member of a rank group, sent to the coordinator.
struct MapSwitchReport
{
    static constexpr auto type = MessageType::MapSwitchReport;

    core::GroupId group;
    std::uint64_t member = 0;
    std::uint64_t session = 0;
    /// Sequence number of the report within the session.
    std::uint64_t number = 0;
    /// Highest fencing token of the orders accepted in the session.
    std::uint64_t fencingToken = 0;
    /// False for ranks that have started but do not belong to a group yet.
    bool hasJoinedGroup = false;
    core::Generation generation;
    /// The map of the last command to activate one; its first step may still be ahead.
    core::MapVersion map;
    /// The next step to complete.
    core::StepNumber nextStep;
    std::optional<core::MapVersion> staged;
    /// The step that the engine does not begin before the decision.
    std::optional<core::StepNumber> heldAt;
    /// The map that was activated last and the first step that runs with it; both are set or neither.
    std::optional<core::MapVersion> lastActivatedMap;
    std::optional<core::StepNumber> lastActivationStep;
    /// Highest fencing token of a command to the engine; 0 for engines that ignore fencing tokens.
    std::uint64_t engineFencingToken = 0;
    bool hasStageFailed = false;
    /// A step that could no longer be held.
    std::optional<core::StepNumber> refusedStep;
    /// The active map as JSON in the first report of a session; empty in later ones.
    std::string mapText;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(group, member, session, number, fencingToken, hasJoinedGroup, generation, map, nextStep, staged, heldAt,
                lastActivatedMap, lastActivationStep, engineFencingToken, hasStageFailed, refusedStep, mapText);
    }
};

/// Tokens that a member's ranks counted for each expert of each layer (layers[layer][expert]) in the last reporting
/// period.
struct ExpertCounts
{
    static constexpr auto type = MessageType::ExpertCounts;

    core::GroupId group;
    std::uint64_t member = 0;
    std::vector<std::vector<std::uint64_t>> layers;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(group, member, layers);
    }
};

} // namespace lycheelanding::wire

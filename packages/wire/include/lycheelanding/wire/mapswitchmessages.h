#pragma once

#include "lycheelanding/wire/messages.h"

namespace lycheelanding::wire {

enum class MapSwitchOrderKind : std::uint8_t {
    Query,
    Stage,
    Arm,
    Decide,
};

/// From the coordinator of a rank group to one of its members.
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
    /// The map as JSON, where the member may need it.
    std::string mapText;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(group, kind, generation, coordinator, session, fencingToken, map, step, mapText);
    }
};

/// From a member of a rank group to its coordinator: always the whole state.
struct MapSwitchReport
{
    static constexpr auto type = MessageType::MapSwitchReport;

    core::GroupId group;
    std::uint64_t member = 0;
    std::uint64_t session = 0;
    std::uint64_t number = 0;
    std::uint64_t fencingToken = 0;
    bool isFormed = false;
    core::Generation generation;
    core::MapVersion map;
    core::StepNumber nextStep;
    std::optional<core::MapVersion> staged;
    std::optional<core::StepNumber> heldAt;
    std::optional<core::MapVersion> lastUsedMap;
    std::optional<core::StepNumber> lastUseStep;
    std::uint64_t engineFencingToken = 0;
    bool hasStageFailed = false;
    std::optional<core::StepNumber> refusedStep;
    /// The map in force as JSON, in the first report of a session.
    std::string mapText;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(group, member, session, number, fencingToken, isFormed, generation, map, nextStep, staged, heldAt,
                lastUsedMap, lastUseStep, engineFencingToken, hasStageFailed, refusedStep, mapText);
    }
};

/// Tokens that a member's ranks have counted for each expert of each layer in their last period.
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

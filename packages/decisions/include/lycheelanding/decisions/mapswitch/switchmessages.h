#pragma once

#include "lycheelanding/core/ids.h"

#include <cstdint>
#include <optional>
#include <variant>

/// Three-phase switch of a rank group from one expert map to the next; all ranks run each step with the same map.
namespace lycheelanding::decisions::mapswitch {

/// A backend server's side within its rank group, counted from 0; member 0 has rank 0.
using MemberIndex = core::NumberId<struct MemberTag>;
/// A connection that a member's side opened to the coordinator; unique among all sessions of the member.
using SessionNumber = core::NumberId<struct SessionTag>;
/// Fencing token; grows with each phase that a coordinator begins.
using FencingToken = core::NumberId<struct FencingTag>;

/// Part of every order and of the commands that follow from it; lets gates and engines reject outdated ones.
struct OrderStamp
{
    core::Generation generation;
    core::Incarnation coordinator;
    SessionNumber session;
    FencingToken fencingToken;
};

/// Queries the member's state. A gate that has answered rejects orders with a lower fencing token.
struct QueryOrder
{ };
/// Load the experts of `map` while the active map stays active.
struct StageOrder
{
    core::MapVersion map;
};
/// Hold the ranks before `step` until the decision is known.
struct ArmOrder
{
    core::MapVersion map;
    core::StepNumber step;
};
/// The decision: `map` is active from `step` on. If the switch failed, this is the map that was active before.
struct DecideOrder
{
    core::MapVersion map;
    core::StepNumber step;
};

/// From the coordinator to a gate.
struct SwitchOrder
{
    OrderStamp stamp;
    std::variant<QueryOrder, StageOrder, ArmOrder, DecideOrder> body;
};

/// A released map and the first step that runs with it.
struct MapActivation
{
    core::MapVersion map;
    core::StepNumber step;

    bool operator==(const MapActivation &) const = default;
};

/// The state of a member's ranks, as their engine reports it.
struct EngineState
{
    /// False for ranks that have started but not yet joined a group.
    bool hasJoinedGroup = false;
    core::Generation generation;
    /// The map of the last command to activate one; its first step may still be ahead.
    core::MapVersion map;
    /// The next step that the ranks will complete.
    core::StepNumber nextStep;
    std::optional<core::MapVersion> staged = std::nullopt;
    /// The step that does not begin before the decision.
    std::optional<core::StepNumber> heldAt = std::nullopt;
    std::optional<MapActivation> lastActivation = std::nullopt;
    /// Highest fencing token of a command to the engine; 0 for engines that ignore fencing tokens.
    FencingToken fencingToken = FencingToken();
};

/// From a gate to the coordinator; always contains the whole state.
struct GateReport
{
    MemberIndex member;
    SessionNumber session;
    /// Grows with each report of the session.
    std::uint64_t number = 0;
    /// Highest fencing token of the orders accepted in the session.
    FencingToken fencingToken;
    EngineState engine;
    bool hasStageFailed = false;
    /// A step that could no longer be held.
    std::optional<core::StepNumber> refusedStep = std::nullopt;
};

/// Command to a member's engine to load the experts of a map. The engine executes commands in sequence; those not yet
/// executed when the side terminates are lost.
struct StageMap
{
    OrderStamp stamp;
    core::MapVersion map;
};
/// Do not begin `step`; answered by held or refused. In a new generation a step that has begun is aborted.
struct HoldAt
{
    OrderStamp stamp;
    core::StepNumber step;
};
/// End the hold at the activation's step; the map is active from that step on.
struct ActivateMap
{
    OrderStamp stamp;
    MapActivation activation;
};
/// End the hold at `step`; the active map stays active.
struct ResumeAt
{
    OrderStamp stamp;
    core::StepNumber step;
};

/// Executes the commands of a RankGate. If the platform's engine only supports activating a map at a given step, the
/// engine adapter in the side implements the hold: it withholds the engine's permission to begin the held step, and
/// reports the held step when a restarted side reads the state.
template <typename Type>
concept SwitchEngine = requires(Type &engine, const StageMap &stage, const HoldAt &hold, const ActivateMap &activation,
                                const ResumeAt &resume)
{
    engine.execute(stage);
    engine.execute(hold);
    engine.execute(activation);
    engine.execute(resume);
};

} // namespace lycheelanding::decisions::mapswitch

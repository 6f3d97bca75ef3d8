#pragma once

#include "lycheelanding/core/ids.h"

#include <cstdint>
#include <optional>
#include <variant>

/// One expert map in every step of a rank group: the three-phase switch from one map to the next.
namespace lycheelanding::decisions::mapswitch {

/// A backend server's side within its rank group, counted from 0; member 0 holds rank 0.
using MemberIndex = core::NumberId<struct MemberTag>;
/// A connection that a member's side opened to the coordinator; unique among all of the member's.
using SessionNumber = core::NumberId<struct SessionTag>;
/// Grows with each phase that a coordinator begins.
using FencingToken = core::NumberId<struct FencingTag>;

/// In every order, so that gates and engines can drop one that is out of date.
struct OrderStamp
{
    core::Generation generation;
    core::Incarnation coordinator;
    SessionNumber session;
    FencingToken fencingToken;
};

/// Asks for the member's state. A gate that answers obeys no order with a lower fencing number any more.
struct QueryOrder
{ };
/// Load the experts of `map` while the map in force stays in force.
struct StageOrder
{
    core::MapVersion map;
};
/// Promise not to begin `step` before the decision is known.
struct ArmOrder
{
    core::MapVersion map;
    core::StepNumber step;
};
/// The decision: `map` is in force from `step` on. It is the map that was in force before, if the switch failed.
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

/// A released map and the first step that it is in force for.
struct MapActivation
{
    core::MapVersion map;
    core::StepNumber step;

    bool operator==(const MapActivation &) const = default;
};

/// The state of a member's ranks, as their engine knows it.
struct EngineState
{
    /// False for ranks that have started and not yet been taken into a group.
    bool hasJoinedGroup = false;
    core::Generation generation;
    /// The map that was last ordered into force, though its first step may still be ahead.
    core::MapVersion map;
    /// The next step to complete.
    core::StepNumber nextStep;
    std::optional<core::MapVersion> staged = std::nullopt;
    /// The step that will not begin before the decision.
    std::optional<core::StepNumber> heldAt = std::nullopt;
    std::optional<MapActivation> lastActivation = std::nullopt;
    /// Highest fencing number of an order to the engine; 0 for engines that ignore them.
    FencingToken fencingToken = FencingToken();
};

/// From a gate to the coordinator: always the whole state.
struct GateReport
{
    MemberIndex member;
    SessionNumber session;
    /// Grows with each report of the session.
    std::uint64_t number = 0;
    /// Highest fencing number obeyed in the session.
    FencingToken fencingToken;
    EngineState engine;
    bool hasStageFailed = false;
    /// A step that could not be held any more.
    std::optional<core::StepNumber> refusedStep = std::nullopt;
};

/// Orders to a member's engine. They are carried out in order, and what has not been carried out when the side dies is
/// lost.
struct StageMap
{
    OrderStamp stamp;
    core::MapVersion map;
};
/// Do not begin `step`; answered by held or refused. In a new generation a step that has begun is given up.
struct HoldAt
{
    OrderStamp stamp;
    core::StepNumber step;
};
/// End the hold at `step`; the map is in force from that step on.
struct ActivateMap
{
    OrderStamp stamp;
    MapActivation activation;
};
/// End the hold at `step`; the map that was in force stays in force.
struct ResumeAt
{
    OrderStamp stamp;
    core::StepNumber step;
};

/// What carries out the orders of a RankGate. Where the platform's engine knows only "use this map from that step", the
/// engine adapter in the side is the hold: it lets the engine run no further than the step before, by not passing on
/// its permission to step, and says how far that is when a new life of the side reads the state.
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

#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/mapswitch/switchmessages.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <variant>
#include <vector>

namespace lycheelanding::decisions::mapswitch {

struct SwitchSettings
{
    /// Time allowed for loading the moved experts; after it the switch is abandoned.
    std::chrono::milliseconds stageTimeout{60000};
    /// Time allowed for arming; after it the switch is withdrawn.
    std::chrono::milliseconds armTimeout{2000};
    std::chrono::milliseconds resendInterval{200};
    /// How often an idle coordinator queries the members for a hold.
    std::chrono::milliseconds idleQueryInterval{1000};
    /// Distance in steps from the next step of the group to the first step of a new map, so that no rank waits for the
    /// decision.
    std::uint64_t stepsAhead = 16;
};

enum class SwitchPhase : std::uint8_t {
    /// Every member is queried for its state.
    Recovering,
    /// A rank was replaced; the group's next generation number is requested from the store.
    AwaitingGeneration,
    Idle,
    Staging,
    Arming,
    /// The decision is made and is sent until all members have it.
    Deciding,
};

struct SendOrder
{
    MemberIndex member;
    SwitchOrder order;
};
/// Raise the group's generation in the key-value service above `known` by compare-and-swap; answered by
/// generationGranted(), with a number that no other coordinator received.
struct RequestGeneration
{
    core::Generation known;
};
/// `hasSucceeded` is false when the switch failed and the previous map stays active.
struct SwitchFinished
{
    core::MapVersion map;
    bool hasSucceeded = false;
};
using CoordinatorAction = std::variant<SendOrder, RequestGeneration, SwitchFinished>;
using CoordinatorActions = std::vector<CoordinatorAction>;

/// Switches a rank group from one expert map to the next; runs in the side of rank 0.
///
/// Keeps no persistent state: after a restart it queries every member and completes an unfinished switch with the only
/// outcome that is still possible.
class SwitchCoordinator
{
public:
    /// `initialMap` is for a group in which no rank has a map yet.
    SwitchCoordinator(const SwitchSettings &settings, core::Incarnation incarnation, std::size_t memberCount,
                      core::MapVersion initialMap);

    CoordinatorActions sessionOpened(MemberIndex member, SessionNumber session, core::TimePoint now);
    CoordinatorActions sessionClosed(MemberIndex member, SessionNumber session, core::TimePoint now);
    CoordinatorActions memberReported(const GateReport &report, core::TimePoint now);
    CoordinatorActions generationGranted(core::Generation generation, core::TimePoint now);
    /// Begins a switch; does nothing unless the coordinator is idle.
    CoordinatorActions switchTo(core::MapVersion map, core::TimePoint now);
    CoordinatorActions tick(core::TimePoint now);

    /// How many steps ahead the next switch places the first step of its map.
    void setStepsAhead(std::uint64_t steps) { m_settings.stepsAhead = steps; }

    SwitchPhase phase() const { return m_phase; }
    core::Generation generation() const { return m_generation; }
    /// The map that all members were last known to use; meaningful when idle.
    core::MapVersion map() const { return m_map; }

private:
    struct Member
    {
        std::optional<SessionNumber> session;
        std::optional<GateReport> report;
    };

    bool isInGroup(const EngineState &engine) const;
    bool isComplete(const Member &member) const;
    bool areAllComplete() const;
    bool hasMemberOutsideGroup() const;
    std::optional<core::StepNumber> heldStep() const;
    core::StepNumber activationStep() const;
    core::MapVersion mapForNewGroup() const;
    SwitchOrder currentOrder(const Member &member) const;

    void evaluate(core::TimePoint now, CoordinatorActions &actions);
    void evaluateIdle(core::TimePoint now, CoordinatorActions &actions);
    void evaluateArming(core::TimePoint now, CoordinatorActions &actions);
    void beginPhase(SwitchPhase phase, core::TimePoint now, CoordinatorActions &actions);
    void beginRecovery(core::TimePoint now, CoordinatorActions &actions);
    void recover(core::TimePoint now, CoordinatorActions &actions);
    void decide(core::MapVersion map, core::TimePoint now, CoordinatorActions &actions);
    void finish(CoordinatorActions &actions);
    void sendTo(std::size_t index, CoordinatorActions &actions) const;
    void sendToIncomplete(core::TimePoint now, CoordinatorActions &actions);

    SwitchSettings m_settings;
    core::Incarnation m_incarnation;
    core::MapVersion m_initialMap;
    std::vector<Member> m_members;
    SwitchPhase m_phase = SwitchPhase::Recovering;
    FencingToken m_fencingToken{1};
    core::Generation m_generation;
    core::MapVersion m_map;
    /// The map of the current switch; when idle, the map of the last decision.
    core::MapVersion m_targetMap;
    core::StepNumber m_step;
    bool m_isFormingGroup = false;
    core::TimePoint m_phaseStart;
    core::TimePoint m_lastSend;
};

} // namespace lycheelanding::decisions::mapswitch

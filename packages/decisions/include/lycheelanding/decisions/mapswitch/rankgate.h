#pragma once

#include "lycheelanding/decisions/mapswitch/switchmessages.h"

#include <optional>
#include <variant>
#include <vector>

namespace lycheelanding::decisions::mapswitch {

/// Send to the coordinator in the current session.
struct SendReport
{
    GateReport report;
};
using GateAction = std::variant<SendReport, StageMap, HoldAt, ActivateMap, ResumeAt>;
using GateActions = std::vector<GateAction>;

/// The side's part in a map switch: accepts orders of the coordinator of its current session and holds its ranks.
///
/// After a restart the side reads the engine's state before it opens a session.
class RankGate
{
public:
    RankGate(MemberIndex member, const EngineState &engine);

    /// The side opened a session to the coordinator; orders of earlier sessions are ignored from now on.
    GateActions sessionOpened(SessionNumber session);
    GateActions order(const SwitchOrder &order);
    GateActions engineStaged(core::MapVersion map);
    GateActions engineStageFailed(core::MapVersion map);
    GateActions engineHeld(core::StepNumber step);
    GateActions engineHoldRefused(core::StepNumber step);
    /// All ranks have completed the step before `nextStep`.
    GateActions engineStepped(core::StepNumber nextStep);

    const EngineState &engine() const { return m_engine; }

private:
    bool isAccepted(const SwitchOrder &order) const;
    void execute(const OrderStamp &stamp, const QueryOrder &order, GateActions &actions);
    void execute(const OrderStamp &stamp, const StageOrder &order, GateActions &actions);
    void execute(const OrderStamp &stamp, const ArmOrder &order, GateActions &actions);
    void execute(const OrderStamp &stamp, const DecideOrder &order, GateActions &actions);
    void joinGroup(const OrderStamp &stamp, const DecideOrder &order, GateActions &actions);
    void report(GateActions &actions);

    MemberIndex m_member;
    EngineState m_engine;
    std::optional<SessionNumber> m_session;
    FencingToken m_fencingToken;
    std::uint64_t m_reportNumber = 0;
    std::optional<core::MapVersion> m_stagingMap;
    std::optional<core::StepNumber> m_pendingHold;
    bool m_hasStageFailed = false;
    std::optional<core::StepNumber> m_refusedStep;
};

} // namespace lycheelanding::decisions::mapswitch

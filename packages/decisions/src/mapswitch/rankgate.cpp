#include "lycheelanding/decisions/mapswitch/rankgate.h"

#include <algorithm>

namespace lycheelanding::decisions::mapswitch {

RankGate::RankGate(MemberIndex member, const EngineState &engine) : m_member(member), m_engine(engine) { }

GateActions RankGate::sessionOpened(SessionNumber session)
{
    GateActions actions;
    m_session = session;
    // Fencing tokens are comparable only within one coordinator incarnation; the session number excludes the others.
    m_fencingToken = FencingToken();
    m_reportNumber = 0;
    report(actions);
    return actions;
}

GateActions RankGate::order(const SwitchOrder &order)
{
    GateActions actions;
    if (!isAccepted(order)) {
        return actions;
    }
    m_fencingToken = order.stamp.fencingToken;
    std::visit([&](const auto &body) { execute(order.stamp, body, actions); }, order.body);
    report(actions);
    return actions;
}

GateActions RankGate::engineStaged(core::MapVersion map)
{
    GateActions actions;
    if (m_stagingMap == map) {
        m_engine.staged = map;
        m_hasStageFailed = false;
        report(actions);
    }
    return actions;
}

GateActions RankGate::engineStageFailed(core::MapVersion map)
{
    GateActions actions;
    if (m_stagingMap == map) {
        m_hasStageFailed = true;
        report(actions);
    }
    return actions;
}

GateActions RankGate::engineHeld(core::StepNumber step)
{
    GateActions actions;
    // A confirmation that arrives after the decision concerns a hold that has already ended.
    if (m_pendingHold == step) {
        m_engine.heldAt = step;
        m_pendingHold.reset();
        report(actions);
    }
    return actions;
}

GateActions RankGate::engineHoldRefused(core::StepNumber step)
{
    GateActions actions;
    if (m_pendingHold == step) {
        m_refusedStep = step;
        m_pendingHold.reset();
        report(actions);
    }
    return actions;
}

GateActions RankGate::engineStepped(core::StepNumber nextStep)
{
    GateActions actions;
    const bool wasActivationPending = m_engine.lastActivation && m_engine.lastActivation->step >= m_engine.nextStep;
    m_engine.nextStep = nextStep;
    if (wasActivationPending && m_engine.lastActivation->step < nextStep) {
        report(actions);
    }
    return actions;
}

bool RankGate::isAccepted(const SwitchOrder &order) const
{
    const OrderStamp &stamp = order.stamp;
    // A new coordinator learns the generation from the answer to its query.
    const bool isQuery = std::holds_alternative<QueryOrder>(order.body);
    const bool isGenerationCurrent = isQuery || stamp.generation >= m_engine.generation;
    return m_session == stamp.session && isGenerationCurrent && stamp.fencingToken >= m_fencingToken;
}

void RankGate::execute(const OrderStamp &, const QueryOrder &, GateActions &) { }

void RankGate::execute(const OrderStamp &stamp, const StageOrder &order, GateActions &actions)
{
    m_refusedStep.reset();
    if (m_engine.staged == order.map || (m_stagingMap == order.map && !m_hasStageFailed)) {
        return;
    }
    m_engine.staged.reset();
    m_hasStageFailed = false;
    m_stagingMap = order.map;
    m_engine.fencingToken = std::max(m_engine.fencingToken, stamp.fencingToken);
    actions.emplace_back(StageMap{stamp, order.map});
}

void RankGate::execute(const OrderStamp &stamp, const ArmOrder &order, GateActions &actions)
{
    const bool isRepeated = m_engine.heldAt == order.step || m_pendingHold == order.step;
    if (isRepeated || m_refusedStep == order.step || m_engine.staged != order.map) {
        return;
    }
    m_pendingHold = order.step;
    m_engine.fencingToken = std::max(m_engine.fencingToken, stamp.fencingToken);
    actions.emplace_back(HoldAt{stamp, order.step});
}

void RankGate::execute(const OrderStamp &stamp, const DecideOrder &order, GateActions &actions)
{
    if (stamp.generation > m_engine.generation) {
        joinGroup(stamp, order, actions);
        return;
    }
    const bool mayBeHeld = m_engine.heldAt == order.step || m_pendingHold == order.step;
    if (!mayBeHeld) {
        return;
    }
    m_engine.heldAt.reset();
    m_pendingHold.reset();
    m_engine.fencingToken = std::max(m_engine.fencingToken, stamp.fencingToken);
    if (order.map == m_engine.map) {
        actions.emplace_back(ResumeAt{stamp, order.step});
        return;
    }
    // Reported as active before the engine confirms it: the engine may execute the command before its next report.
    m_engine.map = order.map;
    m_engine.lastActivation = MapActivation{order.map, order.step};
    actions.emplace_back(ActivateMap{stamp, *m_engine.lastActivation});
}

void RankGate::joinGroup(const OrderStamp &stamp, const DecideOrder &order, GateActions &actions)
{
    if (m_engine.heldAt != order.step || m_engine.staged != order.map) {
        return;
    }
    m_engine.hasJoinedGroup = true;
    m_engine.generation = stamp.generation;
    m_engine.nextStep = order.step;
    m_engine.heldAt.reset();
    m_engine.map = order.map;
    m_engine.lastActivation = MapActivation{order.map, order.step};
    m_engine.fencingToken = std::max(m_engine.fencingToken, stamp.fencingToken);
    actions.emplace_back(ActivateMap{stamp, *m_engine.lastActivation});
}

void RankGate::report(GateActions &actions)
{
    if (!m_session) {
        return;
    }
    ++m_reportNumber;
    actions.emplace_back(
        SendReport{{m_member, *m_session, m_reportNumber, m_fencingToken, m_engine, m_hasStageFailed, m_refusedStep}});
}

} // namespace lycheelanding::decisions::mapswitch

#include "lycheelanding/decisions/mapswitch/switchcoordinator.h"

#include <algorithm>

namespace lycheelanding::decisions::mapswitch {

SwitchCoordinator::SwitchCoordinator(const SwitchSettings &settings, core::Incarnation incarnation,
                                     std::size_t memberCount, core::MapVersion initialMap)
    : m_settings(settings), m_incarnation(incarnation), m_initialMap(initialMap), m_members(memberCount)
{ }

CoordinatorActions SwitchCoordinator::sessionOpened(MemberIndex member, SessionNumber session, core::TimePoint now)
{
    CoordinatorActions actions;
    m_members[member.number()] = {session, std::nullopt};
    // The member may have accepted orders of another coordinator since its last report, which is discarded.
    beginRecovery(now, actions);
    return actions;
}

CoordinatorActions SwitchCoordinator::sessionClosed(MemberIndex member, SessionNumber session, core::TimePoint now)
{
    CoordinatorActions actions;
    if (m_members[member.number()].session == session) {
        m_members[member.number()] = {};
        evaluate(now, actions);
    }
    return actions;
}

CoordinatorActions SwitchCoordinator::memberReported(const GateReport &report, core::TimePoint now)
{
    CoordinatorActions actions;
    Member &member = m_members[report.member.number()];
    const bool isOutdated = member.report && report.number <= member.report->number;
    if (member.session != report.session || isOutdated) {
        return actions;
    }
    member.report = report;
    evaluate(now, actions);
    return actions;
}

CoordinatorActions SwitchCoordinator::generationGranted(core::Generation generation, core::TimePoint now)
{
    CoordinatorActions actions;
    if (m_phase != SwitchPhase::AwaitingGeneration || generation <= m_generation) {
        return actions;
    }
    m_generation = generation;
    m_isFormingGroup = true;
    m_targetMap = mapForNewGroup();
    beginPhase(SwitchPhase::Staging, now, actions);
    evaluate(now, actions);
    return actions;
}

CoordinatorActions SwitchCoordinator::switchTo(core::MapVersion map, core::TimePoint now)
{
    CoordinatorActions actions;
    if (m_phase != SwitchPhase::Idle || map == m_map) {
        return actions;
    }
    m_targetMap = map;
    beginPhase(SwitchPhase::Staging, now, actions);
    return actions;
}

CoordinatorActions SwitchCoordinator::tick(core::TimePoint now)
{
    CoordinatorActions actions;
    evaluate(now, actions);
    const auto timeInPhase = now - m_phaseStart;
    // A group that is being formed has no earlier state to return to, so it has no timeout.
    if (!m_isFormingGroup && m_phase == SwitchPhase::Staging && timeInPhase >= m_settings.stageTimeout) {
        finish(actions);
    } else if (!m_isFormingGroup && m_phase == SwitchPhase::Arming && timeInPhase >= m_settings.armTimeout) {
        decide(m_map, now, actions);
    }
    const bool isIdle = m_phase == SwitchPhase::Idle;
    if (now - m_lastSend >= (isIdle ? m_settings.idleQueryInterval : m_settings.resendInterval)) {
        sendToIncomplete(now, actions);
    }
    return actions;
}

bool SwitchCoordinator::isInGroup(const EngineState &engine) const
{
    return engine.hasJoinedGroup && engine.generation == m_generation;
}

bool SwitchCoordinator::isComplete(const Member &member) const
{
    if (!member.report || member.report->fencingToken != m_fencingToken) {
        return false;
    }
    const EngineState &engine = member.report->engine;
    switch (m_phase) {
    case SwitchPhase::Staging: {
        // The next map must not be armed before the last one is active on every member.
        const bool isLastMapActive
            = m_isFormingGroup || !engine.lastActivation || engine.lastActivation->step < engine.nextStep;
        return engine.staged == m_targetMap && isLastMapActive;
    }
    case SwitchPhase::Arming:
        return engine.heldAt == m_step;
    case SwitchPhase::Deciding:
        return engine.heldAt != m_step && isInGroup(engine);
    default:
        return true;
    }
}

bool SwitchCoordinator::areAllComplete() const
{
    return std::all_of(m_members.begin(), m_members.end(), [this](const Member &member) { return isComplete(member); });
}

bool SwitchCoordinator::hasMemberOutsideGroup() const
{
    return std::any_of(m_members.begin(), m_members.end(), [this](const Member &member) {
        if (!member.report || isInGroup(member.report->engine)) {
            return false;
        }
        // While a group is being formed, its members join one by one.
        return !m_isFormingGroup || (m_phase == SwitchPhase::Deciding && member.report->engine.heldAt != m_step);
    });
}

std::optional<core::StepNumber> SwitchCoordinator::heldStep() const
{
    for (const Member &member : m_members) {
        if (member.report && member.report->engine.heldAt) {
            return member.report->engine.heldAt;
        }
    }
    return std::nullopt;
}

core::StepNumber SwitchCoordinator::activationStep() const
{
    core::StepNumber latest;
    for (const Member &member : m_members) {
        latest = std::max(latest, member.report->engine.nextStep);
    }
    return m_isFormingGroup ? latest : core::StepNumber(latest.number() + m_settings.stepsAhead);
}

core::MapVersion SwitchCoordinator::mapForNewGroup() const
{
    const EngineState *newestCoordinator = nullptr;
    for (const Member &member : m_members) {
        if (!member.report || !member.report->engine.hasJoinedGroup) {
            continue;
        }
        const EngineState &engine = member.report->engine;
        const auto useStep = [](const EngineState &each) {
            return each.lastActivation ? each.lastActivation->step : core::StepNumber();
        };
        const bool isNewer = newestCoordinator == nullptr || engine.generation > newestCoordinator->generation
            || (engine.generation == newestCoordinator->generation && useStep(engine) > useStep(*newestCoordinator));
        newestCoordinator = isNewer ? &engine : newestCoordinator;
    }
    return newestCoordinator == nullptr ? m_initialMap : newestCoordinator->map;
}

SwitchOrder SwitchCoordinator::currentOrder(const Member &member) const
{
    SwitchOrder order{{m_generation, m_incarnation, *member.session, m_fencingToken}, QueryOrder{}};
    if (m_phase == SwitchPhase::Staging) {
        order.body = StageOrder{m_targetMap};
    } else if (m_phase == SwitchPhase::Arming) {
        order.body = ArmOrder{m_targetMap, m_step};
    } else if (m_phase == SwitchPhase::Deciding) {
        order.body = DecideOrder{m_targetMap, m_step};
    }
    return order;
}

void SwitchCoordinator::evaluate(core::TimePoint now, CoordinatorActions &actions)
{
    const bool isRecovering = m_phase == SwitchPhase::Recovering || m_phase == SwitchPhase::AwaitingGeneration;
    if (!isRecovering && hasMemberOutsideGroup()) {
        beginRecovery(now, actions);
        return;
    }
    switch (m_phase) {
    case SwitchPhase::Recovering:
        if (areAllComplete()) {
            recover(now, actions);
        }
        break;
    case SwitchPhase::AwaitingGeneration:
        break;
    case SwitchPhase::Idle:
        evaluateIdle(now, actions);
        break;
    case SwitchPhase::Staging:
        if (areAllComplete()) {
            m_step = activationStep();
            beginPhase(SwitchPhase::Arming, now, actions);
        } else if (!m_isFormingGroup && std::any_of(m_members.begin(), m_members.end(), [this](const Member &member) {
                       return member.report && member.report->fencingToken == m_fencingToken
                           && member.report->hasStageFailed;
                   })) {
            finish(actions);
        }
        break;
    case SwitchPhase::Arming:
        evaluateArming(now, actions);
        break;
    case SwitchPhase::Deciding:
        if (areAllComplete()) {
            finish(actions);
        }
        break;
    }
}

void SwitchCoordinator::evaluateIdle(core::TimePoint now, CoordinatorActions &actions)
{
    if (heldStep()) {
        beginRecovery(now, actions);
    }
}

void SwitchCoordinator::evaluateArming(core::TimePoint now, CoordinatorActions &actions)
{
    if (areAllComplete()) {
        decide(m_targetMap, now, actions);
        return;
    }
    for (const Member &member : m_members) {
        if (!member.report || member.report->fencingToken != m_fencingToken || isComplete(member)) {
            continue;
        }
        if (m_isFormingGroup && member.report->engine.staged != m_targetMap) {
            beginPhase(SwitchPhase::Staging, now, actions);
            return;
        }
        const bool cannotArm = member.report->refusedStep == m_step || member.report->engine.staged != m_targetMap;
        if (!m_isFormingGroup && cannotArm) {
            decide(m_map, now, actions);
            return;
        }
    }
}

void SwitchCoordinator::beginPhase(SwitchPhase phase, core::TimePoint now, CoordinatorActions &actions)
{
    m_phase = phase;
    m_fencingToken = m_fencingToken.next();
    m_phaseStart = now;
    sendToIncomplete(now, actions);
}

void SwitchCoordinator::beginRecovery(core::TimePoint now, CoordinatorActions &actions)
{
    m_isFormingGroup = false;
    beginPhase(SwitchPhase::Recovering, now, actions);
}

void SwitchCoordinator::recover(core::TimePoint now, CoordinatorActions &actions)
{
    for (const Member &member : m_members) {
        m_generation = std::max(m_generation, member.report->engine.generation);
        m_fencingToken = std::max(m_fencingToken, member.report->engine.fencingToken);
    }
    m_isFormingGroup = false;
    const bool isGroupIntact = std::all_of(m_members.begin(), m_members.end(),
                                           [this](const Member &member) { return isInGroup(member.report->engine); });
    if (!isGroupIntact) {
        m_phase = SwitchPhase::AwaitingGeneration;
        m_lastSend = now;
        actions.emplace_back(RequestGeneration{m_generation});
        return;
    }
    const auto hold = heldStep();
    if (!hold) {
        m_map = m_members.front().report->engine.map;
        m_phase = SwitchPhase::Idle;
        return;
    }
    m_step = *hold;
    // A member that was released at this step has the decision, which all others must follow. If no member was
    // released, no decision has reached anyone and fencing blocks a late one, so the switch is withdrawn.
    std::optional<core::MapVersion> decidedMap;
    for (const Member &member : m_members) {
        const EngineState &engine = member.report->engine;
        if (engine.heldAt == m_step) {
            m_map = engine.map;
        } else if (engine.lastActivation && engine.lastActivation->step == m_step) {
            decidedMap = engine.lastActivation->map;
        }
    }
    decide(decidedMap.value_or(m_map), now, actions);
}

void SwitchCoordinator::decide(core::MapVersion map, core::TimePoint now, CoordinatorActions &actions)
{
    m_targetMap = map;
    beginPhase(SwitchPhase::Deciding, now, actions);
}

void SwitchCoordinator::finish(CoordinatorActions &actions)
{
    const bool hasSucceeded = m_phase == SwitchPhase::Deciding && m_targetMap != m_map;
    actions.emplace_back(SwitchFinished{m_targetMap, hasSucceeded});
    m_map = m_phase == SwitchPhase::Deciding ? m_targetMap : m_map;
    m_isFormingGroup = false;
    m_phase = SwitchPhase::Idle;
}

void SwitchCoordinator::sendTo(std::size_t index, CoordinatorActions &actions) const
{
    const Member &member = m_members[index];
    if (member.session) {
        actions.emplace_back(SendOrder{MemberIndex(index), currentOrder(member)});
    }
}

void SwitchCoordinator::sendToIncomplete(core::TimePoint now, CoordinatorActions &actions)
{
    m_lastSend = now;
    if (m_phase == SwitchPhase::AwaitingGeneration) {
        actions.emplace_back(RequestGeneration{m_generation});
        return;
    }
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        if (m_phase == SwitchPhase::Idle || !isComplete(m_members[index])) {
            sendTo(index, actions);
        }
    }
}

} // namespace lycheelanding::decisions::mapswitch

#pragma once

#include "lycheelanding/decisions/mapswitch/rankgate.h"
#include "lycheelanding/decisions/mapswitch/switchcoordinator.h"

#include <deque>

#include <gtest/gtest.h>
// After gtest.
#include <rapidcheck/gtest.h>

/// Simulates a lock-step rank group with sides, coordinators and a lossy network; checks that each step uses one map.
namespace lycheelanding::decisions::mapswitch {

using std::chrono::milliseconds;

constexpr std::size_t memberCount = 2;
constexpr core::MapVersion firstMap{1};

using EngineOrder = std::variant<StageMap, HoldAt, ActivateMap, ResumeAt>;

/// The engine of a member's ranks; begins each step that it may begin with the map that is active at that step.
struct Engine
{
    EngineState state;
    std::optional<MapActivation> pendingUse;
    core::MapVersion activeMap;
    std::optional<core::MapVersion> mapOfBegunStep;
    bool honoursFencing = false;
    bool isFrozen = false;
    bool failsToStage = false;

    bool mayBegin() const
    {
        return state.hasJoinedGroup && !mapOfBegunStep && !isFrozen && state.heldAt != state.nextStep;
    }

    void begin()
    {
        if (pendingUse && pendingUse->step <= state.nextStep) {
            activeMap = pendingUse->map;
            pendingUse.reset();
        }
        mapOfBegunStep = activeMap;
    }
};

struct Message
{
    std::size_t member = 0;
    std::size_t coordinator = 0;
    std::variant<SessionNumber, GateReport, SwitchOrder> body;
};

/// A lock-step group, coordinators that may be active concurrently, and a network that loses and reorders messages.
class GroupSimulation
{
public:
    GroupSimulation()
    {
        for (std::size_t member = 0; member < memberCount; ++member) {
            m_engines[member].honoursFencing = member == 1;
            m_gates.emplace_back(MemberIndex(member), m_engines[member].state);
        }
        startCoordinator();
    }

    void startCoordinator()
    {
        const core::Incarnation incarnation(m_coordinators.size() + 1);
        SwitchSettings settings;
        settings.stepsAhead = 3;
        settings.armTimeout = milliseconds(400);
        m_coordinators.emplace_back(settings, incarnation, memberCount, firstMap);
        m_generationRequested.push_back(false);
    }

    void openSession(std::size_t member, std::size_t coordinator)
    {
        m_sessions[member] = coordinator;
        const SessionNumber session(++m_lastSession);
        m_messages.push_back({member, coordinator, session});
        applyGateActions(member, m_gates[member].sessionOpened(session));
    }

    /// Restarts the side. The engine has executed the first `executedOrders` of its pending orders; the rest is lost.
    void restartSide(std::size_t member, std::size_t executedOrders)
    {
        for (std::size_t order = 0; order < executedOrders; ++order) {
            executeNextOrder(member, false);
        }
        m_orders[member].clear();
        m_gates[member] = RankGate(MemberIndex(member), m_engines[member].state);
    }

    void restartRank(std::size_t member)
    {
        m_orders[member].clear();
        m_engines[member] = Engine{};
        m_engines[member].honoursFencing = member == 1;
        m_gates[member] = RankGate(MemberIndex(member), m_engines[member].state);
    }

    void deliver(std::size_t index)
    {
        if (m_messages.empty()) {
            return;
        }
        index %= m_messages.size();
        const Message message = m_messages[index];
        m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
        SwitchCoordinator &coordinator = m_coordinators[message.coordinator];
        const MemberIndex member(message.member);
        if (const auto *session = std::get_if<SessionNumber>(&message.body)) {
            applyCoordinatorActions(message.coordinator, coordinator.sessionOpened(member, *session, m_now));
        } else if (const auto *report = std::get_if<GateReport>(&message.body)) {
            applyCoordinatorActions(message.coordinator, coordinator.memberReported(*report, m_now));
        } else {
            applyGateActions(message.member, m_gates[message.member].order(std::get<SwitchOrder>(message.body)));
        }
    }

    void dropMessage(std::size_t index)
    {
        if (!m_messages.empty()) {
            m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index % m_messages.size()));
        }
    }

    /// Holds back a message until deliverDelayed(), which may deliver it repeatedly.
    void delayMessage(std::size_t index)
    {
        if (!m_messages.empty()) {
            const auto message = m_messages.begin() + static_cast<std::ptrdiff_t>(index % m_messages.size());
            m_delayed.push_back(*message);
            m_messages.erase(message);
        }
    }

    void deliverDelayed(std::size_t index)
    {
        if (!m_delayed.empty()) {
            m_messages.push_front(m_delayed[index % m_delayed.size()]);
            deliver(0);
        }
    }

    void duplicateMessage(std::size_t index)
    {
        if (!m_messages.empty()) {
            m_messages.push_back(m_messages[index % m_messages.size()]);
        }
    }

    void executeNextOrder(std::size_t member, bool isReported = true)
    {
        if (m_orders[member].empty() || m_engines[member].isFrozen) {
            return;
        }
        const EngineOrder order = m_orders[member].front();
        m_orders[member].pop_front();
        std::visit(
            [&](const auto &each) {
                Engine &engine = m_engines[member];
                if (engine.honoursFencing && each.stamp.fencingToken < engine.state.fencingToken) {
                    return;
                }
                engine.state.fencingToken = engine.honoursFencing ? each.stamp.fencingToken : FencingToken();
                const GateActions actions = execute(engine, m_gates[member], each);
                if (isReported) {
                    applyGateActions(member, actions);
                }
            },
            order);
    }

    /// Begins the member's next step if allowed; the step is complete when all members have begun it.
    void beginStep(std::size_t member)
    {
        Engine &engine = m_engines[member];
        if (!engine.mayBegin()) {
            return;
        }
        engine.begin();
        bool haveAllBegun = true;
        for (const Engine &other : m_engines) {
            const bool isSameStep = other.mapOfBegunStep && other.state.generation == engine.state.generation
                && other.state.nextStep == engine.state.nextStep;
            RC_ASSERT((!isSameStep || other.mapOfBegunStep == engine.mapOfBegunStep));
            haveAllBegun = haveAllBegun && isSameStep;
        }
        if (!haveAllBegun) {
            return;
        }
        for (std::size_t each = 0; each < memberCount; ++each) {
            m_engines[each].mapOfBegunStep.reset();
            m_engines[each].state.nextStep = m_engines[each].state.nextStep.next();
            applyGateActions(each, m_gates[each].engineStepped(m_engines[each].state.nextStep));
        }
    }

    void switchMap(std::size_t coordinator)
    {
        ++m_newestMap;
        applyCoordinatorActions(coordinator,
                                m_coordinators[coordinator].switchTo(core::MapVersion(m_newestMap), m_now));
    }

    void tick(std::size_t coordinator, milliseconds step)
    {
        m_now += step;
        applyCoordinatorActions(coordinator, m_coordinators[coordinator].tick(m_now));
    }

    void answerStore(std::size_t coordinator, bool isLost)
    {
        if (!m_generationRequested[coordinator]) {
            return;
        }
        m_generationRequested[coordinator] = false;
        const core::Generation generation(++m_lastGeneration);
        if (!isLost) {
            applyCoordinatorActions(coordinator, m_coordinators[coordinator].generationGranted(generation, m_now));
        }
    }

    /// Runs without faults; messages arrive in order.
    void run(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            for (std::size_t count = m_messages.size(); count > 0; --count) {
                deliver(0);
            }
            for (std::size_t member = 0; member < memberCount; ++member) {
                executeNextOrder(member);
                beginStep(member);
            }
            answerStore(newestCoordinator(), false);
            tick(newestCoordinator(), milliseconds(50));
        }
    }

    void openSessions()
    {
        for (std::size_t member = 0; member < memberCount; ++member) {
            openSession(member, newestCoordinator());
        }
    }

    void clearFaults()
    {
        m_messages.clear();
        for (Engine &engine : m_engines) {
            engine.isFrozen = false;
            engine.failsToStage = false;
        }
        openSessions();
    }

    std::size_t newestCoordinator() const { return m_coordinators.size() - 1; }
    std::size_t previousCoordinator() const { return m_coordinators.size() > 1 ? newestCoordinator() - 1 : 0; }
    Engine &engine(std::size_t member) { return m_engines[member]; }
    std::uint64_t newestMap() const { return m_newestMap; }
    const SwitchCoordinator &coordinator() const { return m_coordinators.back(); }

private:
    GateActions execute(Engine &engine, RankGate &gate, const StageMap &order)
    {
        if (engine.failsToStage) {
            return gate.engineStageFailed(order.map);
        }
        engine.state.staged = order.map;
        return gate.engineStaged(order.map);
    }

    GateActions execute(Engine &engine, RankGate &gate, const HoldAt &order)
    {
        const bool isNewGeneration = order.stamp.generation > engine.state.generation;
        const bool hasBegun = engine.mapOfBegunStep && engine.state.nextStep == order.step;
        if (engine.state.nextStep > order.step || (hasBegun && !isNewGeneration)) {
            return gate.engineHoldRefused(order.step);
        }
        if (hasBegun) {
            engine.mapOfBegunStep.reset();
        }
        engine.state.heldAt = order.step;
        return gate.engineHeld(order.step);
    }

    GateActions execute(Engine &engine, RankGate &, const ActivateMap &order)
    {
        if (engine.state.heldAt == order.activation.step) {
            engine.state.heldAt.reset();
        }
        if (order.stamp.generation > engine.state.generation) {
            engine.state.hasJoinedGroup = true;
            engine.state.generation = order.stamp.generation;
            engine.state.nextStep = order.activation.step;
        }
        engine.pendingUse = order.activation;
        engine.state.map = order.activation.map;
        engine.state.lastActivation = order.activation;
        return {};
    }

    GateActions execute(Engine &engine, RankGate &, const ResumeAt &order)
    {
        if (engine.state.heldAt == order.step) {
            engine.state.heldAt.reset();
        }
        return {};
    }

    void applyGateActions(std::size_t member, const GateActions &actions)
    {
        for (const GateAction &action : actions) {
            std::visit(
                [&](const auto &each) {
                    if constexpr (std::is_same_v<std::decay_t<decltype(each)>, SendReport>) {
                        m_messages.push_back({member, m_sessions[member], each.report});
                    } else {
                        m_orders[member].push_back(each);
                    }
                },
                action);
        }
    }

    void applyCoordinatorActions(std::size_t coordinator, const CoordinatorActions &actions)
    {
        for (const CoordinatorAction &action : actions) {
            if (const auto *send = std::get_if<SendOrder>(&action)) {
                m_messages.push_back({send->member.number(), coordinator, send->order});
            } else if (std::holds_alternative<RequestGeneration>(action)) {
                m_generationRequested[coordinator] = true;
            }
        }
    }

    core::TimePoint m_now{std::chrono::hours(1)};
    Engine m_engines[memberCount];
    std::vector<RankGate> m_gates;
    std::deque<EngineOrder> m_orders[memberCount];
    std::size_t m_sessions[memberCount] = {};
    std::vector<SwitchCoordinator> m_coordinators;
    std::vector<bool> m_generationRequested;
    std::deque<Message> m_messages;
    std::vector<Message> m_delayed;
    std::uint64_t m_lastSession = 0;
    std::uint64_t m_lastGeneration = 0;
    std::uint64_t m_newestMap = firstMap.number();
};

} // namespace lycheelanding::decisions::mapswitch

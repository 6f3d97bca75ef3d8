#include "mapswitch/groupsimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lycheelanding::decisions::mapswitch {

namespace {

struct Event
{
    int kind;
    std::size_t member;
    std::size_t detail;
};

void showValue(const Event &event, std::ostream &out)
{
    out << "(" << event.kind << " " << event.member << " " << event.detail << ")";
}

rc::Gen<std::vector<Event>> arbitraryEvents()
{
    const auto event = rc::gen::construct<Event>(rc::gen::inRange(0, 32), rc::gen::inRange<std::size_t>(0, memberCount),
                                                 rc::gen::inRange<std::size_t>(0, 1000));
    return rc::gen::scale(4, rc::gen::container<std::vector<Event>>(event));
}

void applyFault(GroupSimulation &simulation, const Event &event)
{
    const std::size_t member = event.member;
    switch (event.kind) {
    case 0:
        simulation.startCoordinator();
        break;
    case 1:
        simulation.restartSide(member, event.detail % 3);
        simulation.openSession(member, simulation.newestCoordinator());
        break;
    case 2:
        if (event.detail % 3 == 0) {
            simulation.restartRank(member);
            simulation.openSession(member, simulation.newestCoordinator());
        }
        break;
    case 3:
        simulation.openSession(member, simulation.previousCoordinator());
        break;
    case 4:
        simulation.openSession(member, simulation.newestCoordinator());
        break;
    case 5:
        simulation.dropMessage(event.detail);
        break;
    case 6:
        simulation.duplicateMessage(event.detail);
        break;
    case 7:
        simulation.engine(member).isFrozen = event.detail % 3 == 0;
        break;
    case 8:
        simulation.engine(member).failsToStage = event.detail % 8 == 0;
        break;
    case 9:
    case 10:
        simulation.delayMessage(event.detail);
        break;
    case 11:
        simulation.deliverDelayed(event.detail);
        break;
    default:
        simulation.tick(simulation.previousCoordinator(), milliseconds(event.detail));
    }
}

void applyEvent(GroupSimulation &simulation, const Event &event)
{
    constexpr int faultKinds = 13;
    switch (event.kind) {
    case faultKinds:
    case faultKinds + 1:
        simulation.switchMap(simulation.newestCoordinator());
        break;
    case faultKinds + 2:
        simulation.switchMap(simulation.previousCoordinator());
        break;
    case faultKinds + 3:
        simulation.tick(simulation.newestCoordinator(), milliseconds(event.detail));
        break;
    case faultKinds + 4:
        simulation.answerStore(event.detail % 3 == 0 ? simulation.previousCoordinator()
                                                     : simulation.newestCoordinator(),
                               event.detail % 4 == 1);
        break;
    case faultKinds + 5:
        simulation.run(static_cast<int>(event.detail % 8));
        break;
    case faultKinds + 6:
    case faultKinds + 7:
    case faultKinds + 8:
        simulation.executeNextOrder(event.member);
        break;
    case faultKinds + 9:
    case faultKinds + 10:
    case faultKinds + 11:
        simulation.beginStep(event.member);
        break;
    case faultKinds + 12:
    case faultKinds + 13:
        simulation.deliver(event.detail);
        break;
    default:
        if (event.kind < faultKinds) {
            applyFault(simulation, event);
        } else {
            simulation.deliver(0);
        }
    }
}

} // namespace

RC_GTEST_PROP(SwitchCoordinatorTest, everyStepRunsOnOneMapAndTheGroupStepsOnAfterFaults, ())
{
    constexpr std::size_t groupCount = 20;
    for (const auto &events : *rc::gen::container<std::vector<std::vector<Event>>>(groupCount, arbitraryEvents())) {
        GroupSimulation simulation;
        simulation.openSessions();
        simulation.run(20);
        for (const Event &event : events) {
            applyEvent(simulation, event);
        }
        simulation.clearFaults();
        simulation.run(150);
        const auto before = simulation.engine(0).state.nextStep;
        RC_ASSERT(simulation.coordinator().phase() == SwitchPhase::Idle);
        simulation.run(10);
        RC_ASSERT(simulation.engine(0).state.nextStep > before);
        simulation.switchMap(simulation.newestCoordinator());
        simulation.run(100);
        for (std::size_t member = 0; member < memberCount; ++member) {
            RC_ASSERT(simulation.engine(member).activeMap == core::MapVersion(simulation.newestMap()));
        }
    }
}

TEST(SwitchCoordinatorTest, armsNoStepBeforeTheLastMapIsActive)
{
    SwitchCoordinator coordinator(SwitchSettings{}, core::Incarnation(1), 1, firstMap);
    const core::TimePoint now;
    const SessionNumber session(1);
    const auto query = coordinator.sessionOpened(MemberIndex(0), session, now);
    const FencingToken queryToken = std::get<SendOrder>(query.front()).order.stamp.fencingToken;
    EngineState engine{true, core::Generation(1), core::MapVersion(2), core::StepNumber(5)};
    engine.lastActivation = MapActivation{core::MapVersion(2), core::StepNumber(7)};
    coordinator.memberReported({MemberIndex(0), session, 1, queryToken, engine}, now);
    ASSERT_EQ(coordinator.phase(), SwitchPhase::Idle);
    const auto stage = coordinator.switchTo(core::MapVersion(3), now);
    const FencingToken stageToken = std::get<SendOrder>(stage.front()).order.stamp.fencingToken;
    engine.staged = core::MapVersion(3);
    coordinator.memberReported({MemberIndex(0), session, 2, stageToken, engine}, now);
    EXPECT_EQ(coordinator.phase(), SwitchPhase::Staging);
    engine.nextStep = core::StepNumber(8);
    coordinator.memberReported({MemberIndex(0), session, 3, stageToken, engine}, now);
    EXPECT_EQ(coordinator.phase(), SwitchPhase::Arming);
}

TEST(SwitchCoordinatorTest, switchIsWithdrawnIfARankFreezesAndTheGroupKeepsItsMap)
{
    GroupSimulation simulation;
    simulation.openSessions();
    simulation.run(40);
    simulation.engine(1).isFrozen = true;
    simulation.switchMap(0);
    simulation.run(2000);
    simulation.engine(1).isFrozen = false;
    simulation.run(40);
    EXPECT_EQ(simulation.coordinator().phase(), SwitchPhase::Idle);
    EXPECT_EQ(simulation.coordinator().map(), firstMap);
    for (std::size_t member = 0; member < memberCount; ++member) {
        EXPECT_EQ(simulation.engine(member).activeMap, firstMap);
    }
}

} // namespace lycheelanding::decisions::mapswitch

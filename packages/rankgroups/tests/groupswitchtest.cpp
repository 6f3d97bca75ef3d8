#include "lycheelanding/rankgroups/groupswitch.h"

#include "fakerankgroup.h"

#include "lycheelanding/core/random.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <memory>
#include <string>

namespace lycheelanding::rankgroups {

namespace {

using namespace std::chrono_literals;
using namespace decisions::mapswitch;

decisions::experts::ExpertMap someMap()
{
    return decisions::experts::roundRobinMap({3, 6, 1, 3}, core::MapVersion());
}

/// Simulates a group with its leaders, all but the last of which are superseded yet still active, and the commands in
/// flight.
class SwitchSimulation
{
public:
    SwitchSimulation(std::size_t ranks, bool checksFencingTokens) : m_group(ranks, checksFencingTokens)
    {
        replaceLeader();
    }

    void replaceLeader()
    {
        recordEvent("new leader");
        std::vector<RankState> states;
        for (std::size_t rank = 0; rank < m_group.size(); ++rank) {
            states.push_back(m_group.state(rank));
        }
        m_leaders.push_back(std::make_unique<GroupSwitch>(FencingToken(++m_fencingToken), states));
        queueCommands(m_leaders.size() - 1, m_leaders.back()->start(m_now));
    }

    void reformGroup()
    {
        m_group.form();
        replaceLeader();
    }

    void startSwitch() { queueCommands(m_leaders.size() - 1, m_leaders.back()->switchTo(someMap(), someMap(), m_now)); }

    /// Delivers the command at `index`; its answer reaches the leader only if `isAnswered`.
    void deliver(std::size_t index, bool isAnswered)
    {
        const auto sentCommand = m_commands[index];
        m_commands.erase(m_commands.begin() + static_cast<std::ptrdiff_t>(index));
        const auto answer = m_group.execute(sentCommand.command.rank.number(), sentCommand.command.command);
        const auto &command = sentCommand.command.command.command;
        recordEvent("leader " + std::to_string(sentCommand.leader) + " rank "
                    + std::to_string(sentCommand.command.rank.number()) + " " + std::string(nameOf(command.kind))
                    + " map " + std::to_string(command.map.number()) + " step " + std::to_string(command.step.number())
                    + ": " + std::string(nameOf(answer)) + (isAnswered ? "" : ", not answered"));
        if (isAnswered) {
            queueCommands(sentCommand.leader,
                          m_leaders[sentCommand.leader]->answered(sentCommand.command.rank, sentCommand.command.number,
                                                                  answer, m_now));
        }
    }

    void recordEvent(const std::string &text)
    {
        history += "step " + std::to_string(m_group.currentStep()) + ": " + text + "\n";
    }

    void dropCommand(std::size_t index) { m_commands.erase(m_commands.begin() + static_cast<std::ptrdiff_t>(index)); }

    void readState(std::size_t leader, std::size_t rank)
    {
        queueCommands(leader,
                      m_leaders[leader]->stateRead(core::RankIndex(rank), m_group.state(rank), m_now,
                                                   FencingToken(m_group.installedFencingToken(rank))));
    }

    /// Reads the state of a rank; deliverDelayedRead() delivers it to a leader later.
    void startDelayedRead(std::size_t rank)
    {
        m_delayedStates.push_back(
            {rank, m_group.state(rank), FencingToken(m_group.installedFencingToken(rank)), m_now});
    }

    /// Delivers the oldest delayed state unless it is older than the maximum lag of reports.
    void deliverDelayedRead(std::size_t leader)
    {
        constexpr auto maxLag = 400ms;
        if (m_delayedStates.empty()) {
            return;
        }
        const auto delayed = m_delayedStates.front();
        m_delayedStates.pop_front();
        if (m_now - delayed.readAt < maxLag) {
            queueCommands(leader,
                          m_leaders[leader]->stateRead(core::RankIndex(delayed.rank), delayed.state, m_now,
                                                       delayed.installedFencingToken));
        }
    }

    void advance(core::Duration time)
    {
        m_now += time;
        for (std::size_t leader = 0; leader < m_leaders.size(); ++leader) {
            queueCommands(leader, m_leaders[leader]->tick(m_now));
        }
    }

    /// Runs rounds in which every command and answer arrives and the last leader reads every state.
    void settle(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            while (!m_commands.empty()) {
                deliver(0, true);
            }
            for (std::size_t rank = 0; rank < m_group.size(); ++rank) {
                readState(m_leaders.size() - 1, rank);
            }
            advance(100ms);
            hasConsistentMaps = m_group.step() && hasConsistentMaps;
        }
    }

    FakeRankGroup &group() { return m_group; }
    GroupSwitch &leader() { return *m_leaders.back(); }
    std::size_t leaderCount() const { return m_leaders.size(); }
    std::size_t commandCount() const { return m_commands.size(); }

    bool hasConsistentMaps = true;
    /// Log of the events, printed if the test fails.
    std::string history;

private:
    struct DelayedState
    {
        std::size_t rank;
        RankState state;
        FencingToken installedFencingToken;
        core::TimePoint readAt;
    };

    struct SentCommand
    {
        std::size_t leader;
        CommandRank command;
    };

    void queueCommands(std::size_t leader, const GroupSwitchActions &actions)
    {
        for (const auto &action : actions) {
            if (const auto *command = std::get_if<CommandRank>(&action)) {
                m_commands.push_back({leader, *command});
            }
        }
    }

    FakeRankGroup m_group;
    std::uint64_t m_fencingToken = 0;
    core::TimePoint m_now = core::TimePoint(1h);
    std::vector<std::unique_ptr<GroupSwitch>> m_leaders;
    std::deque<SentCommand> m_commands;
    std::deque<DelayedState> m_delayedStates;
};

} // namespace

TEST(GroupSwitch, switchesAllRanksAtOneStep)
{
    SwitchSimulation simulation(3, true);
    simulation.settle(8);
    simulation.startSwitch();
    simulation.settle(12);
    EXPECT_TRUE(simulation.hasConsistentMaps);
    EXPECT_NE(simulation.group().state(0).map, core::MapVersion());
    EXPECT_EQ(simulation.group().state(0).map, simulation.leader().map());
    EXPECT_TRUE(simulation.leader().isIdle());
}

// After a power loss all engines start with the round-robin map, under which forward passes take several times as long,
// so a new leader must not wait for the maximum lag of reports before its first switch.
TEST(GroupSwitch, newLeaderAcceptsStateReadAfterItsFencingTokenWithoutDelay)
{
    SwitchSimulation simulation(3, true);
    simulation.settle(2);
    EXPECT_TRUE(simulation.leader().isIdle());
    simulation.startSwitch();
    simulation.settle(10);
    EXPECT_NE(simulation.group().state(0).map, core::MapVersion());
    EXPECT_TRUE(simulation.hasConsistentMaps);
}

TEST(GroupSwitch, newLeaderReleasesAHoldOfAnEarlierLeader)
{
    SwitchSimulation simulation(3, true);
    simulation.settle(8);
    const EngineCommandRequest hold{{CommandKind::Hold,
                                     simulation.group().state(1).generation,
                                     {},
                                     core::StepNumber(simulation.group().currentStep() + 2)},
                                    FencingToken(1),
                                    {}};
    EXPECT_EQ(simulation.group().execute(1, hold), CommandAnswer::Done);
    simulation.replaceLeader();
    const auto before = simulation.group().currentStep();
    simulation.settle(10);
    EXPECT_GT(simulation.group().currentStep(), before + 3);
    EXPECT_TRUE(simulation.hasConsistentMaps);
}

TEST(GroupSwitch, lateHoldOfAnIdleGroupIsReleased)
{
    SwitchSimulation simulation(3, true);
    simulation.settle(8);
    const EngineCommandRequest hold{{CommandKind::Hold,
                                     simulation.group().state(2).generation,
                                     {},
                                     core::StepNumber(simulation.group().currentStep() + 2)},
                                    FencingToken(1),
                                    {}};
    EXPECT_EQ(simulation.group().execute(2, hold), CommandAnswer::Done);
    const auto before = simulation.group().currentStep();
    simulation.settle(10);
    EXPECT_GT(simulation.group().currentStep(), before + 3);
}

/// After a shift of the demand for experts each forward pass takes a tenth of a second, and half of the commands get no
/// answer and are executed only seconds later; the test drops these. A switch must still be active on all ranks within
/// a second.
TEST(GroupSwitch, switchWithLostCommandsIsActiveWithinASecond)
{
    constexpr auto tick = 25ms;
    constexpr int ticksPerPass = 4;
    constexpr int ticksPerSecond = 40;
    SwitchSimulation simulation(8, true);
    simulation.settle(8);
    simulation.startSwitch();
    core::RandomSequence random(11);
    // Commands lost during the first switch make the leader expect further losses.
    const auto runTicks = [&](int ticks) {
        for (int index = 0; index < ticks; ++index) {
            while (simulation.commandCount() > 0) {
                if (random.nextUnit() < 0.5) {
                    simulation.deliver(0, true);
                } else {
                    simulation.dropCommand(0);
                }
            }
            if (index % ticksPerPass == 0) {
                simulation.hasConsistentMaps = simulation.group().step() && simulation.hasConsistentMaps;
            }
            for (std::size_t rank = 0; rank < simulation.group().size(); ++rank) {
                simulation.readState(simulation.leaderCount() - 1, rank);
            }
            simulation.advance(tick);
        }
    };
    runTicks(3 * ticksPerSecond);
    ASSERT_TRUE(simulation.leader().isIdle());
    for (int round = 0; round < 4; ++round) {
        const auto before = simulation.group().state(0).map;
        simulation.startSwitch();
        // Copying takes three forward passes before the commands of the switch itself.
        runTicks(ticksPerSecond + 3 * ticksPerPass);
        EXPECT_NE(simulation.group().state(0).map, before);
        EXPECT_TRUE(simulation.leader().isIdle());
        runTicks(ticksPerSecond);
    }
    EXPECT_TRUE(simulation.hasConsistentMaps);
}

/// Commands are lost, answered late or not at all, or executed after newer ones; leaders are replaced at any time while
/// the earlier ones stay active; groups form again. No step may start while ranks have different maps, and no group may
/// stay held.
RC_GTEST_PROP(GroupSwitchFuzz, noStepStartsOnTwoMapsAndNoGroupStaysHeld, ())
{
    const auto ranks = *rc::gen::inRange<std::size_t>(2, 5);
    SwitchSimulation simulation(ranks, true);
    const int events = *rc::gen::inRange(1, 160);
    for (int event = 0; event < events && simulation.hasConsistentMaps; ++event) {
        const auto commands = simulation.commandCount();
        switch (*rc::gen::inRange(0, 18)) {
        case 0:
            simulation.startSwitch();
            break;
        case 1:
            simulation.replaceLeader();
            break;
        case 2:
            if (*rc::gen::inRange(0, 4) == 0) {
                simulation.reformGroup();
            }
            break;
        case 3:
            if (commands > 0) {
                simulation.dropCommand(*rc::gen::inRange<std::size_t>(0, commands));
            }
            break;
        case 4:
        case 5:
        case 6:
        case 7:
        case 8:
            if (commands > 0) {
                // Mostly in order, sometimes a later command before earlier ones.
                const bool isInOrder = *rc::gen::inRange(0, 4) != 0;
                const auto index = isInOrder ? 0 : *rc::gen::inRange<std::size_t>(0, commands);
                simulation.deliver(index, *rc::gen::inRange(0, 4) != 0);
            }
            break;
        case 9:
        case 10:
        case 11:
            simulation.readState(*rc::gen::inRange<std::size_t>(0, simulation.leaderCount()),
                                 *rc::gen::inRange<std::size_t>(0, ranks));
            break;
        case 13:
            simulation.startDelayedRead(*rc::gen::inRange<std::size_t>(0, ranks));
            break;
        case 14:
            simulation.deliverDelayedRead(*rc::gen::inRange<std::size_t>(0, simulation.leaderCount()));
            break;
        case 12:
            simulation.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 400)));
            break;
        default:
            simulation.hasConsistentMaps = simulation.group().step();
        }
    }
    const bool hadConsistentMaps = simulation.hasConsistentMaps;
    if (hadConsistentMaps) {
        simulation.replaceLeader();
        simulation.settle(60);
    }
    RC_LOG() << simulation.history;
    RC_ASSERT(simulation.hasConsistentMaps);
    const auto before = simulation.group().currentStep();
    simulation.settle(5);
    RC_ASSERT(simulation.group().currentStep() >= before + 5);
}

} // namespace lycheelanding::rankgroups

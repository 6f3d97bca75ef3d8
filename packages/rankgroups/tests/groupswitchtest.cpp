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

/// A group with its leaders, of which all but the last one are zombies, and commands that are on their way.
class SwitchWorld
{
public:
    SwitchWorld(std::size_t ranks, bool checksFences) : m_group(ranks, checksFences) { replaceLeader(); }

    void replaceLeader()
    {
        note("new leader");
        std::vector<RankState> states;
        for (std::size_t rank = 0; rank < m_group.size(); ++rank) {
            states.push_back(m_group.state(rank));
        }
        m_leaders.push_back(std::make_unique<GroupSwitch>(FencingToken(++m_fence), states));
        take(m_leaders.size() - 1, m_leaders.back()->start(m_now));
    }

    void formAnew()
    {
        m_group.form();
        replaceLeader();
    }

    void begin() { take(m_leaders.size() - 1, m_leaders.back()->switchTo(someMap(), m_now)); }

    /// Delivers the command at `index`, with its answer or without.
    void deliver(std::size_t index, bool isAnswered)
    {
        const auto sent = m_commands[index];
        m_commands.erase(m_commands.begin() + static_cast<std::ptrdiff_t>(index));
        const auto answer = m_group.carryOut(sent.command.rank.number(), sent.command.command);
        const auto &command = sent.command.command.command;
        note("leader " + std::to_string(sent.leader) + " rank " + std::to_string(sent.command.rank.number()) + " "
             + std::string(nameOf(command.kind)) + " map " + std::to_string(command.map.number()) + " step "
             + std::to_string(command.step.number()) + ": " + std::string(nameOf(answer))
             + (isAnswered ? "" : ", not answered"));
        if (isAnswered) {
            take(sent.leader, m_leaders[sent.leader]->answered(sent.command.rank, sent.command.number, answer, m_now));
        }
    }

    void note(const std::string &text)
    {
        history += "step " + std::to_string(m_group.currentStep()) + ": " + text + "\n";
    }

    void drop(std::size_t index) { m_commands.erase(m_commands.begin() + static_cast<std::ptrdiff_t>(index)); }

    void read(std::size_t leader, std::size_t rank)
    {
        take(leader,
             m_leaders[leader]->stateRead(core::RankIndex(rank), m_group.state(rank), m_now,
                                          FencingToken(m_group.shownFence(rank))));
    }

    /// Reads a rank whose word is under way for some time.
    void beginRead(std::size_t rank)
    {
        m_words.push_back({rank, m_group.state(rank), FencingToken(m_group.shownFence(rank)), m_now});
    }

    /// Delivers the oldest word, unless it has got older than any may be.
    void endRead(std::size_t leader)
    {
        constexpr auto longestLag = 400ms;
        if (m_words.empty()) {
            return;
        }
        const auto word = m_words.front();
        m_words.pop_front();
        if (m_now - word.readAt < longestLag) {
            take(leader, m_leaders[leader]->stateRead(core::RankIndex(word.rank), word.state, m_now, word.shownFence));
        }
    }

    void pass(core::Duration time)
    {
        m_now += time;
        for (std::size_t leader = 0; leader < m_leaders.size(); ++leader) {
            take(leader, m_leaders[leader]->tick(m_now));
        }
    }

    /// Everything arrives, and the last leader hears of everything.
    void settle(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            while (!m_commands.empty()) {
                deliver(0, true);
            }
            for (std::size_t rank = 0; rank < m_group.size(); ++rank) {
                read(m_leaders.size() - 1, rank);
            }
            pass(100ms);
            isMapShared = m_group.step() && isMapShared;
        }
    }

    FakeRankGroup &group() { return m_group; }
    GroupSwitch &leader() { return *m_leaders.back(); }
    std::size_t leaderCount() const { return m_leaders.size(); }
    std::size_t commandCount() const { return m_commands.size(); }

    bool isMapShared = true;
    /// What happened, for the report of a failure.
    std::string history;

private:
    struct Word
    {
        std::size_t rank;
        RankState state;
        FencingToken shownFence;
        core::TimePoint readAt;
    };

    struct Sent
    {
        std::size_t leader;
        CommandRank command;
    };

    void take(std::size_t leader, const GroupSwitchActions &actions)
    {
        for (const auto &action : actions) {
            if (const auto *command = std::get_if<CommandRank>(&action)) {
                m_commands.push_back({leader, *command});
            }
        }
    }

    FakeRankGroup m_group;
    std::uint64_t m_fence = 0;
    core::TimePoint m_now = core::TimePoint(1h);
    std::vector<std::unique_ptr<GroupSwitch>> m_leaders;
    std::deque<Sent> m_commands;
    std::deque<Word> m_words;
};

} // namespace

TEST(GroupSwitch, switchesAllRanksAtOneStep)
{
    SwitchWorld world(3, true);
    world.settle(8);
    world.begin();
    world.settle(12);
    EXPECT_TRUE(world.isMapShared);
    EXPECT_NE(world.group().state(0).map, core::MapVersion());
    EXPECT_EQ(world.group().state(0).map, world.leader().map());
    EXPECT_TRUE(world.leader().isIdle());
}

// After a power loss all engines begin with the even map, under which passes take several times as long.
TEST(GroupSwitch, newLeaderNeedsNoWaitForWordThatWasReadAfterItsFence)
{
    SwitchWorld world(3, true);
    world.settle(2);
    EXPECT_TRUE(world.leader().isIdle());
    world.begin();
    world.settle(10);
    EXPECT_NE(world.group().state(0).map, core::MapVersion());
    EXPECT_TRUE(world.isMapShared);
}

TEST(GroupSwitch, newLeaderEndsAHoldThatAnEarlierOneHasLeft)
{
    SwitchWorld world(3, true);
    world.settle(8);
    const AddressedCommand hold{
        {CommandKind::Hold, world.group().state(1).generation, {}, core::StepNumber(world.group().currentStep() + 2)},
        FencingToken(1),
        {}};
    EXPECT_EQ(world.group().carryOut(1, hold), CommandAnswer::Done);
    world.replaceLeader();
    const auto before = world.group().currentStep();
    world.settle(10);
    EXPECT_GT(world.group().currentStep(), before + 3);
    EXPECT_TRUE(world.isMapShared);
}

TEST(GroupSwitch, lateHoldOfAnIdleGroupIsEnded)
{
    SwitchWorld world(3, true);
    world.settle(8);
    const AddressedCommand hold{
        {CommandKind::Hold, world.group().state(2).generation, {}, core::StepNumber(world.group().currentStep() + 2)},
        FencingToken(1),
        {}};
    EXPECT_EQ(world.group().carryOut(2, hold), CommandAnswer::Done);
    const auto before = world.group().currentStep();
    world.settle(10);
    EXPECT_GT(world.group().currentStep(), before + 3);
}

/// Half of the orders get no answer and are carried out seconds later, when the demand for experts has shifted and each
/// pass takes a tenth of a second: a switch is in force on all ranks within a second.
TEST(GroupSwitch, switchWhoseOrdersGoUnansweredIsInForceWithinASecond)
{
    constexpr auto tick = 25ms;
    constexpr int ticksPerPass = 4;
    constexpr int ticksPerSecond = 40;
    SwitchWorld world(8, true);
    world.settle(8);
    world.begin();
    core::RandomSequence random(11);
    // The first one makes the leader expect others.
    const auto playTicks = [&](int ticks) {
        for (int each = 0; each < ticks; ++each) {
            while (world.commandCount() > 0) {
                if (random.nextUnit() < 0.5) {
                    world.deliver(0, true);
                } else {
                    world.drop(0);
                }
            }
            if (each % ticksPerPass == 0) {
                world.isMapShared = world.group().step() && world.isMapShared;
            }
            for (std::size_t rank = 0; rank < world.group().size(); ++rank) {
                world.read(world.leaderCount() - 1, rank);
            }
            world.pass(tick);
        }
    };
    playTicks(3 * ticksPerSecond);
    ASSERT_TRUE(world.leader().isIdle());
    for (int round = 0; round < 4; ++round) {
        const auto before = world.group().state(0).map;
        world.begin();
        // The copies take three passes before the orders of the switch itself.
        playTicks(ticksPerSecond + 3 * ticksPerPass);
        EXPECT_NE(world.group().state(0).map, before);
        EXPECT_TRUE(world.leader().isIdle());
        playTicks(ticksPerSecond);
    }
    EXPECT_TRUE(world.isMapShared);
}

/// Orders that are lost, answered late or not at all, carried out after newer ones; leaders replaced at any point with
/// the earlier ones still at work; groups that form anew: no step begins on two maps, and no group stays held.
RC_GTEST_PROP(GroupSwitchFuzz, noStepBeginsOnTwoMapsAndNoGroupStaysHeld, ())
{
    const auto ranks = *rc::gen::inRange<std::size_t>(2, 5);
    SwitchWorld world(ranks, true);
    const int events = *rc::gen::inRange(1, 160);
    for (int event = 0; event < events && world.isMapShared; ++event) {
        const auto commands = world.commandCount();
        switch (*rc::gen::inRange(0, 18)) {
        case 0:
            world.begin();
            break;
        case 1:
            world.replaceLeader();
            break;
        case 2:
            if (*rc::gen::inRange(0, 4) == 0) {
                world.formAnew();
            }
            break;
        case 3:
            if (commands > 0) {
                world.drop(*rc::gen::inRange<std::size_t>(0, commands));
            }
            break;
        case 4:
        case 5:
        case 6:
        case 7:
        case 8:
            if (commands > 0) {
                // Mostly in order, at times a late one before others or behind them.
                const bool isInOrder = *rc::gen::inRange(0, 4) != 0;
                const auto index = isInOrder ? 0 : *rc::gen::inRange<std::size_t>(0, commands);
                world.deliver(index, *rc::gen::inRange(0, 4) != 0);
            }
            break;
        case 9:
        case 10:
        case 11:
            world.read(*rc::gen::inRange<std::size_t>(0, world.leaderCount()),
                       *rc::gen::inRange<std::size_t>(0, ranks));
            break;
        case 13:
            world.beginRead(*rc::gen::inRange<std::size_t>(0, ranks));
            break;
        case 14:
            world.endRead(*rc::gen::inRange<std::size_t>(0, world.leaderCount()));
            break;
        case 12:
            world.pass(std::chrono::milliseconds(*rc::gen::inRange(0, 400)));
            break;
        default:
            world.isMapShared = world.group().step();
        }
    }
    const bool wasMapShared = world.isMapShared;
    if (wasMapShared) {
        world.replaceLeader();
        world.settle(60);
    }
    RC_LOG() << world.history;
    RC_ASSERT(world.isMapShared);
    const auto before = world.group().currentStep();
    world.settle(5);
    RC_ASSERT(world.group().currentStep() >= before + 5);
}

} // namespace lycheelanding::rankgroups

#include "lycheelanding/decisions/mapswitch/rankcommands.h"

#include <gtest/gtest.h>

namespace lycheelanding::decisions::mapswitch {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint start(1h);
const OrderStamp stamp{core::Generation(1), core::Incarnation(7), SessionNumber(1), FencingToken(1)};
const HoldAt hold{stamp, core::StepNumber(9)};
const StageMap stage{stamp, core::MapVersion(5)};

std::uint64_t sentNumber(const RankCommandActions &actions)
{
    EXPECT_EQ(actions.size(), 1U);
    return std::get<SendCommand>(actions.front()).number;
}

/// Whether the actions are a single AwaitWindow.
bool awaitsWindow(const RankCommandActions &actions)
{
    return actions.size() == 1 && std::holds_alternative<AwaitWindow>(actions.front());
}

} // namespace

TEST(RankCommandsTest, unansweredCommandIsSentAgain)
{
    RankCommands commands{RankCommandSettings()};
    const auto first = sentNumber(commands.execute(hold, start));
    EXPECT_TRUE(commands.tick(start + 10ms).empty());
    EXPECT_GT(sentNumber(commands.tick(start + RankCommandSettings().answerTimeout)), first);
    EXPECT_EQ(commands.lostCommands(), 0U);
}

TEST(RankCommandsTest, slowlyAnsweredCommandDoesNotCountAsLost)
{
    const RankCommandSettings settings;
    RankCommands commands(settings);
    const auto first = sentNumber(commands.execute(hold, start));
    commands.tick(start + settings.answerTimeout);
    commands.answered(first, CommandAnswer::Done, start + 2 * settings.answerTimeout);
    commands.execute(ResumeAt{hold.stamp, hold.step}, start + settings.lostAfter);
    commands.tick(start + settings.lostAfter + settings.answerTimeout);
    EXPECT_EQ(commands.lostCommands(), 0U);
    commands.tick(start + 2 * settings.lostAfter);
    commands.tick(start + 3 * settings.lostAfter);
    EXPECT_EQ(commands.lostCommands(), 1U);
}

// A rank that answers slowly got every command twice.
TEST(RankCommandsTest, slowAnswersDelayTheRepeatsOfLaterCommands)
{
    const RankCommandSettings settings;
    RankCommands commands(settings);
    const auto first = sentNumber(commands.execute(hold, start));
    commands.tick(start + settings.answerTimeout);
    // The time counts from the send that is answered.
    commands.answered(first, CommandAnswer::Done, start + 40ms);
    const auto sentAt = start + 1s;
    commands.execute(ResumeAt{stamp, hold.step}, sentAt);
    EXPECT_TRUE(commands.tick(sentAt + 41ms).empty());
    sentNumber(commands.tick(sentAt + settings.lostAfter));
}

TEST(RankCommandsTest, answerToAnEarlierSendOfTheCommandCounts)
{
    RankCommands commands{RankCommandSettings()};
    const auto first = sentNumber(commands.execute(hold, start));
    const auto second = sentNumber(commands.tick(start + RankCommandSettings().answerTimeout));
    const auto actions = commands.answered(first, CommandAnswer::Done, start + 50ms);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<StepHeld>(actions.front()).step, hold.step);
    EXPECT_TRUE(commands.answered(second, CommandAnswer::Done, start + 60ms).empty());
    EXPECT_TRUE(commands.isIdle());
}

TEST(RankCommandsTest, answerToThePreviousCommandIsIgnored)
{
    RankCommands commands{RankCommandSettings()};
    const auto first = sentNumber(commands.execute(hold, start));
    const auto second = sentNumber(commands.tick(start + RankCommandSettings().answerTimeout));
    commands.answered(first, CommandAnswer::Done, start + 50ms);
    commands.execute(ResumeAt{hold.stamp, hold.step}, start + 60ms);
    commands.answered(second, CommandAnswer::Done, start + 70ms);
    EXPECT_FALSE(commands.isIdle());
}

// Prepares of all ranks were sent at once and repeated while earlier copies were still queued on the leader's link.
TEST(RankCommandsTest, prepareIsSentAndRepeatedOnlyWithinTheWindow)
{
    constexpr auto transferTime = 20ms;
    RankCommands commands{RankCommandSettings()};
    EXPECT_TRUE(awaitsWindow(commands.execute(stage, start)));
    EXPECT_TRUE(commands.usesWindow());
    EXPECT_TRUE(commands.tick(start + 1s).empty());
    const auto sentAt = start + 2s;
    sentNumber(commands.windowOpened(transferTime, sentAt));
    EXPECT_TRUE(commands.windowOpened(transferTime, sentAt).empty());
    const auto timeout = RankCommandSettings().answerTimeout + transferTime;
    EXPECT_TRUE(commands.tick(sentAt + timeout - 1ms).empty());
    EXPECT_TRUE(awaitsWindow(commands.tick(sentAt + timeout)));
    EXPECT_TRUE(commands.tick(sentAt + 1s).empty());
    sentNumber(commands.windowOpened(transferTime, sentAt + 1s));
}

TEST(RankCommandsTest, lateAnswerEndsTheWaitForTheWindow)
{
    RankCommands commands{RankCommandSettings()};
    commands.execute(stage, start);
    const auto sent = sentNumber(commands.windowOpened(0ms, start));
    EXPECT_TRUE(awaitsWindow(commands.tick(start + 50ms)));
    EXPECT_TRUE(commands.answered(sent, CommandAnswer::Done, start + 60ms).empty());
    EXPECT_FALSE(commands.usesWindow());
    EXPECT_TRUE(commands.windowOpened(0ms, start + 70ms).empty());
}

TEST(RankCommandsTest, timeInTheQueueOfTheWindowIsNoLoss)
{
    RankCommands commands{RankCommandSettings()};
    commands.execute(stage, start);
    sentNumber(commands.windowOpened(0ms, start + 1s));
    commands.tick(start + 1s + RankCommandSettings().answerTimeout);
    EXPECT_EQ(commands.lostCommands(), 0U);
}

} // namespace lycheelanding::decisions::mapswitch

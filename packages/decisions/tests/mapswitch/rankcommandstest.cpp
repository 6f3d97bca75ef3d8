#include "lycheelanding/decisions/mapswitch/rankcommands.h"

#include <gtest/gtest.h>

namespace lycheelanding::decisions::mapswitch {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint start(1h);
const HoldAt hold{{core::Generation(1), core::Incarnation(7), SessionNumber(1), FencingToken(1)}, core::StepNumber(9)};

std::uint64_t sentNumber(const RankCommandActions &actions)
{
    EXPECT_EQ(actions.size(), 1U);
    return std::get<SendCommand>(actions.front()).number;
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

} // namespace lycheelanding::decisions::mapswitch

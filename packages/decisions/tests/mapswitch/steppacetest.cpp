#include "lycheelanding/decisions/mapswitch/steppace.h"

#include <gtest/gtest.h>

namespace lycheelanding::decisions::mapswitch {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint start{1h};

/// Steps of 240 ms; step 3 has begun at start + 480 ms.
StepPace slowSteps()
{
    StepPace pace;
    pace.stepRead(core::StepNumber(1), start - 25ms, start);
    pace.stepRead(core::StepNumber(2), start + 215ms, start + 240ms);
    pace.stepRead(core::StepNumber(3), start + 455ms, start + 480ms);
    return pace;
}

} // namespace

TEST(StepPace, paceIsUnknownBeforeTheSecondStep)
{
    StepPace pace;
    EXPECT_FALSE(pace.stepsWithin(80ms, start));
    pace.stepRead(core::StepNumber(7), start - 25ms, start);
    EXPECT_FALSE(pace.stepsWithin(80ms, start));
}

// While steps are long, as after a shift of the demand, a switch two steps ahead takes half a second more.
TEST(StepPace, nextStepCanBeHeldWhileThePresentOneIsYoung)
{
    const auto pace = slowSteps();
    EXPECT_EQ(pace.stepsWithin(80ms, start + 500ms), 0U);
    EXPECT_EQ(pace.stepsWithin(80ms, start + 660ms), 1U);
    EXPECT_EQ(pace.stepsWithin(400ms, start + 500ms), 1U);
    EXPECT_EQ(pace.stepsWithin(500ms, start + 500ms), 2U);
}

// A hold of a step that has begun is refused, and the switch is withdrawn.
TEST(StepPace, stepMayHaveBegunRightAfterTheEarlierRead)
{
    StepPace pace;
    pace.stepRead(core::StepNumber(1), start - 100ms, start);
    pace.stepRead(core::StepNumber(2), start, start + 100ms);
    EXPECT_EQ(pace.stepsWithin(80ms, start + 100ms), 1U);
    // Another rank has read the step before at a later time.
    pace.stepRead(core::StepNumber(2), start + 95ms, start + 102ms);
    EXPECT_EQ(pace.stepsWithin(80ms, start + 102ms), 0U);
}

TEST(StepPace, stepThatIsOverdueMayBeginAtOnce)
{
    EXPECT_EQ(slowSteps().stepsWithin(80ms, start + 900ms), 1U);
}

TEST(StepPace, paceOfAnIdleGroupIsUnknown)
{
    auto pace = slowSteps();
    EXPECT_FALSE(pace.stepsWithin(80ms, start + 2s));
    pace.stepRead(core::StepNumber(4), start + 4975ms, start + 5s);
    EXPECT_FALSE(pace.stepsWithin(80ms, start + 5s));
}

TEST(StepPace, stepsThatWereNotReadCount)
{
    StepPace pace;
    pace.stepRead(core::StepNumber(1), start - 10ms, start);
    pace.stepRead(core::StepNumber(4), start + 80ms, start + 90ms);
    EXPECT_EQ(pace.stepsWithin(80ms, start + 90ms), 3U);
}

} // namespace lycheelanding::decisions::mapswitch

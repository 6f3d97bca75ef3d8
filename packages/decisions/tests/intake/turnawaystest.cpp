#include "lycheelanding/decisions/intake/turnaways.h"

#include <gtest/gtest.h>

namespace lycheelanding::decisions::intake {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint start{1h};
const BackendId backend("a");

} // namespace

TEST(TurnAwaysTest, longestOfTheStatedTimesHolds)
{
    TurnAways turnAways;
    EXPECT_TRUE(turnAways.record({backend, 1, start + 6s}, start));
    EXPECT_FALSE(turnAways.record({backend, 1, start + 4s}, start + 1s));
    const auto pause = turnAways.pauseOf(backend, 1, start + 5s);
    ASSERT_TRUE(pause);
    EXPECT_EQ(pause->toldAt, start);
    EXPECT_EQ(pause->until, start + 6s);
    EXPECT_FALSE(turnAways.pauseOf(backend, 1, start + 6s));
}

// A backend server may start again under its id, and has asked for nothing then.
TEST(TurnAwaysTest, pauseOfAnotherIncarnationDoesNotHold)
{
    TurnAways turnAways;
    turnAways.record({backend, 1, start + 60s}, start);
    EXPECT_FALSE(turnAways.pauseOf(backend, 2, start + 1s));
    EXPECT_TRUE(turnAways.record({backend, 2, start + 3s}, start + 1s));
    EXPECT_TRUE(turnAways.pauseOf(backend, 2, start + 2s));
    EXPECT_FALSE(turnAways.pauseOf(backend, 2, start + 3s));
}

TEST(TurnAwaysTest, pausesThatAreOverAreForgotten)
{
    TurnAways turnAways;
    for (int number = 0; number < 1000; ++number) {
        const auto now = start + number * 1s;
        turnAways.record({BackendId(std::to_string(number)), 1, now + 5s}, now);
        EXPECT_LE(turnAways.size(), 6U);
    }
}

} // namespace lycheelanding::decisions::intake

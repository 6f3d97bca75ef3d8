#include "lycheelanding/decisions/mapswitch/answertimes.h"

#include <gtest/gtest.h>

#include <chrono>

namespace lycheelanding::decisions::mapswitch {

namespace {

using namespace std::chrono_literals;

constexpr auto minTimeout = 30ms;
constexpr auto maxTimeout = 120ms;

AnswerTimes after(int answers, core::Duration time)
{
    AnswerTimes times;
    for (int answer = 0; answer < answers; ++answer) {
        times.record(time);
    }
    return times;
}

} // namespace

TEST(AnswerTimes, withoutAnswersAndWithFastOnesTheTimeoutIsTheMinimum)
{
    EXPECT_EQ(AnswerTimes().timeout(minTimeout, maxTimeout), minTimeout);
    EXPECT_EQ(after(20, 4ms).timeout(minTimeout, maxTimeout), minTimeout);
}

TEST(AnswerTimes, firstSlowAnswerRaisesTheTimeoutAboveItsTime)
{
    EXPECT_EQ(after(1, 20ms).timeout(minTimeout, maxTimeout), 60ms);
}

TEST(AnswerTimes, steadyTimesApproachTheMean)
{
    const auto timeout = after(100, 50ms).timeout(minTimeout, maxTimeout);
    EXPECT_GE(timeout, 50ms);
    EXPECT_LE(timeout, 52ms);
}

TEST(AnswerTimes, varyingTimesRaiseTheTimeoutAboveTheSlowest)
{
    AnswerTimes times;
    for (int answer = 0; answer < 50; ++answer) {
        times.record(answer % 2 == 0 ? 20ms : 40ms);
    }
    EXPECT_GT(times.timeout(minTimeout, maxTimeout), 40ms);
}

TEST(AnswerTimes, timeoutIsBounded)
{
    EXPECT_EQ(after(1, 5s).timeout(minTimeout, maxTimeout), maxTimeout);
}

TEST(AnswerTimes, timeoutFallsAgainWithFastAnswers)
{
    auto times = after(10, 100ms);
    for (int answer = 0; answer < 60; ++answer) {
        times.record(4ms);
    }
    EXPECT_EQ(times.timeout(minTimeout, maxTimeout), minTimeout);
}

} // namespace lycheelanding::decisions::mapswitch

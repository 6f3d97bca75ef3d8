#include "lycheelanding/decisions/intake/backendintake.h"

#include <gtest/gtest.h>

namespace lycheelanding::decisions::intake {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint start(1h);
const BackendId backend("backend-1");
const core::ServiceId drafts("drafts");

} // namespace

TEST(BackendIntake, limitIsReportedWhenItChanges)
{
    BackendIntake intake(1);
    EXPECT_EQ(intake.limitStated(backend, drafts, 2.0, start), LimitChange::Stated);
    EXPECT_EQ(intake.limitStated(backend, drafts, 2.0, start + 1s), LimitChange::None);
    EXPECT_EQ(intake.limitStated(backend, drafts, 1.5, start + 2s), LimitChange::Stated);
    EXPECT_EQ(intake.limitOf(backend), 1.5);
}

// Answers on several connections overtake each other: one that was given before the limit began may arrive later.
TEST(BackendIntake, answerToAnEarlierRequestDoesNotEndALimit)
{
    BackendIntake intake(1);
    intake.limitStated(backend, drafts, 2.0, start);
    EXPECT_FALSE(intake.noLimitStated(backend, start - 1ms, start + 5ms));
    EXPECT_TRUE(intake.limitOf(backend));
    const auto ended = intake.noLimitStated(backend, start + 1s, start + 2s);
    ASSERT_TRUE(ended);
    EXPECT_EQ(ended->duration, 2s);
    EXPECT_FALSE(intake.limitOf(backend));
}

TEST(BackendIntake, limitHoldsForOneBackendOnlyAndUntilItIsRemoved)
{
    BackendIntake intake(1);
    intake.setPosition({1, 0}, start);
    intake.limitStated(backend, drafts, 0.1, start);
    EXPECT_FALSE(intake.mayReceive(backend, start));
    EXPECT_TRUE(intake.mayReceive(BackendId("backend-2"), start));
    intake.remove(backend);
    EXPECT_TRUE(intake.mayReceive(backend, start));
}

TEST(BackendIntake, unreadableLimitsAreReportedNowAndThen)
{
    BackendIntake intake(1);
    EXPECT_TRUE(intake.limitUnreadable(backend, start));
    EXPECT_FALSE(intake.limitUnreadable(backend, start + 1s));
    EXPECT_TRUE(intake.limitUnreadable(backend, start + 11s));
}

} // namespace lycheelanding::decisions::intake

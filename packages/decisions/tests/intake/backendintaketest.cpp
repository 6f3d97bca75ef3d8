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
    EXPECT_EQ(intake.limitStated({backend, drafts, 2.0, start}, start), LimitChange::Stated);
    EXPECT_EQ(intake.limitStated({backend, drafts, 2.0, start + 1s}, start + 1s), LimitChange::None);
    EXPECT_EQ(intake.limitStated({backend, drafts, 1.5, start + 2s}, start + 2s), LimitChange::Stated);
    EXPECT_EQ(intake.limitOf(backend), 1.5);
}

// Answers on several connections overtake each other: one that was given before the limit began may arrive later.
TEST(BackendIntake, answerToAnEarlierRequestDoesNotEndALimit)
{
    BackendIntake intake(1);
    intake.limitStated({backend, drafts, 2.0, start}, start);
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
    intake.limitStated({backend, drafts, 0.1, start}, start);
    EXPECT_FALSE(intake.mayReceive(backend, start));
    EXPECT_TRUE(intake.mayReceive(BackendId("backend-2"), start));
    intake.remove(backend);
    EXPECT_TRUE(intake.mayReceive(backend, start));
}

// Entries that get no turns never learnt of the end of a limit when the other entries' reports were lost.
TEST(BackendIntake, entryWithoutTurnsSendsOneProbeAfterAWhile)
{
    constexpr std::size_t entries = 50;
    int probing = 0;
    for (std::size_t index = 0; index < entries; ++index) {
        BackendIntake intake(index);
        intake.setPosition({entries, index}, start);
        intake.limitStated({backend, drafts, 0.1, start}, start);
        EXPECT_FALSE(intake.mayReceive(backend, start));
        if (intake.mayReceive(backend, start + 5min)) {
            ++probing;
            intake.recordSent(backend, start + 5min);
            EXPECT_FALSE(intake.mayReceive(backend, start + 5min + 1s));
        }
    }
    // The others have turns, the first of which may come later.
    EXPECT_GE(probing, 47);
}

// Reports of other entries arrive late and in any order.
TEST(BackendIntake, earlierStatementChangesNothing)
{
    BackendIntake intake(1);
    intake.limitStated({backend, drafts, 2.0, start + 1s}, start + 1s);
    EXPECT_EQ(intake.limitStated({backend, drafts, 9.0, start}, start + 2s), LimitChange::None);
    EXPECT_EQ(intake.limitOf(backend), 2.0);
}

TEST(BackendIntake, unreadableLimitsAreReportedNowAndThen)
{
    BackendIntake intake(1);
    EXPECT_TRUE(intake.unreadable(backend, start));
    EXPECT_FALSE(intake.unreadable(backend, start + 1s));
    EXPECT_TRUE(intake.unreadable(backend, start + 11s));
}

} // namespace lycheelanding::decisions::intake

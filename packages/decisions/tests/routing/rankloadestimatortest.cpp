#include "lycheelanding/decisions/routing/rankloadestimator.h"

#include <gtest/gtest.h>

namespace lycheelanding::decisions::routing {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint start(1h);
constexpr std::size_t entries = 6;
constexpr core::Duration timeConstant = 500ms;

} // namespace

TEST(RankLoadEstimatorTest, othersAreAssumedToSendToTheSameRank)
{
    RankLoadEstimator estimator;
    estimator.reported(4, start);
    estimator.sent(1, start + 50ms);
    EXPECT_GT(estimator.estimate(entries, timeConstant, start + 50ms), 9.0);
}

// Entries see the same reports, so they send to the same ranks, but their requests end independently.
TEST(RankLoadEstimatorTest, workThatIsDoneCountsOnce)
{
    RankLoadEstimator estimator;
    estimator.sent(2, start);
    estimator.reported(12, start + 1ms);
    estimator.done(1, start + 30ms);
    EXPECT_GT(estimator.estimate(entries, timeConstant, start + 30ms), 10.0);
}

TEST(RankLoadEstimatorTest, changesBeforeAReportAreForgotten)
{
    RankLoadEstimator estimator;
    estimator.sent(3, start);
    estimator.done(2, start + 30ms);
    estimator.reported(9, start + 100ms);
    EXPECT_DOUBLE_EQ(estimator.estimate(1, timeConstant, start + 100ms), 9.0);
}

} // namespace lycheelanding::decisions::routing

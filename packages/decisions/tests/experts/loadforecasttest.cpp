#include "lycheelanding/decisions/experts/loadforecast.h"

#include <gtest/gtest.h>

#include <numeric>
#include <rapidcheck/gtest.h>

namespace lycheelanding::decisions::experts {

namespace {

constexpr core::LayerIndex onlyLayer{0};

core::TimePoint minute(int number)
{
    return core::TimePoint(std::chrono::minutes(number));
}

ExpertCounts countsOf(const std::vector<std::uint64_t> &tokens, core::TimePoint periodEnd)
{
    ExpertCounts counts(1, tokens.size(), periodEnd);
    for (std::size_t expert = 0; expert < tokens.size(); ++expert) {
        counts.setTokens(onlyLayer, core::ExpertIndex(expert), tokens[expert]);
    }
    return counts;
}

} // namespace

RC_GTEST_PROP(LoadForecastTest, sharesArePositiveAndSumToOne, ())
{
    const std::size_t experts = *rc::gen::inRange<std::size_t>(1, 10);
    LoadForecast forecast(1, experts, {});
    const int periods = *rc::gen::inRange(1, 20);
    for (int period = 0; period < periods; ++period) {
        const auto tokens
            = *rc::gen::container<std::vector<std::uint64_t>>(experts, rc::gen::inRange<std::uint64_t>(0, 100000));
        forecast.observe(countsOf(tokens, minute(period)));
        if (!forecast.isKnown(0)) {
            continue;
        }
        double total = 0;
        for (const auto &load : forecast.loadsOf(0)) {
            RC_ASSERT(load.share > 0);
            RC_ASSERT(load.deviation >= 0);
            total += load.share;
        }
        RC_ASSERT(std::abs(total - 1) < 1e-9);
    }
}

TEST(LoadForecastTest, fluctuationsAreSmoothedAndJumpsAreAppliedAtOnce)
{
    LoadForecast forecast(1, 2, {std::chrono::minutes(3), 4});
    forecast.observe(countsOf({1000, 1000}, minute(0)));
    forecast.observe(countsOf({1100, 900}, minute(1)));
    const double smoothed = forecast.loadsOf(0)[0].share;
    EXPECT_GT(smoothed, 0.5);
    EXPECT_LT(smoothed, 0.53);
    forecast.observe(countsOf({9000, 1000}, minute(2)));
    EXPECT_NEAR(forecast.loadsOf(0)[0].share, 0.9, 1e-9);
}

TEST(LoadForecastTest, lateCountsDoNotReplaceNewerOnes)
{
    LoadForecast forecast(1, 2, {core::Duration::zero(), 4});
    forecast.observe(countsOf({3000, 1000}, minute(5)));
    forecast.observe(countsOf({1000, 3000}, minute(4)));
    EXPECT_NEAR(forecast.loadsOf(0)[0].share, 0.75, 1e-9);
    EXPECT_TRUE(forecast.isFresh(0, minute(5)));
    EXPECT_FALSE(forecast.isFresh(0, minute(6)));
}

TEST(LoadForecastTest, emptyCountsAndCountsOfAnotherShapeAreIgnored)
{
    LoadForecast forecast(1, 2, {});
    forecast.observe(countsOf({0, 0}, minute(1)));
    forecast.observe(countsOf({1, 2, 3}, minute(1)));
    forecast.observe(ExpertCounts(1, 2, minute(1)));
    EXPECT_FALSE(forecast.newestPeriodEnd());
    EXPECT_FALSE(forecast.isKnown(0));
}

} // namespace lycheelanding::decisions::experts

#include "lycheelanding/rankgroups/demandaverage.h"

#include "lycheelanding/core/random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>

namespace lycheelanding::rankgroups {

namespace {

constexpr std::size_t experts = 64;
constexpr double choicesPerWindow = 20000.0;

/// Share of the choices by expert: falls with the popularity rank of an expert; `first` is the most popular one.
std::vector<double> popularity(std::size_t first)
{
    std::vector<double> shares(experts);
    double sum = 0.0;
    for (std::size_t rank = 0; rank < experts; ++rank) {
        const double share = 1.0 / std::pow(static_cast<double>(rank + 1), 1.6);
        shares[(first + rank * 7) % experts] = share;
        sum += share;
    }
    for (auto &share : shares) {
        share /= sum;
    }
    return shares;
}

/// Counts of one window. The requests that happen to run change the share of each expert by up to `maxChange`.
std::vector<std::uint64_t> window(const std::vector<double> &shares, core::RandomSequence &random,
                                  double maxChange = 0.2)
{
    std::vector<std::uint64_t> counts;
    for (const double share : shares) {
        const double noise = 1.0 - maxChange + 2.0 * maxChange * random.nextUnit();
        counts.push_back(static_cast<std::uint64_t>(share * noise * choicesPerWindow));
    }
    return counts;
}

/// Maximum relative error of the average against `shares`, for experts with a share of a hundredth or more.
double maxError(const DemandAverage &average, const std::vector<double> &shares)
{
    double total = 0.0;
    for (const double sum : average.sums()) {
        total += sum;
    }
    double largest = 0.0;
    for (std::size_t expert = 0; expert < experts; ++expert) {
        if (shares[expert] >= 0.01) {
            largest = std::max(largest, std::abs(average.sums()[expert] / total / shares[expert] - 1.0));
        }
    }
    return largest;
}

} // namespace

// If the planner followed the noise of short windows, it would load maps without benefit, and forward passes take
// longer while a rank loads.
TEST(DemandAverageTest, averageOfSteadyDemandIsMoreAccurateThanOneWindow)
{
    core::RandomSequence random(5);
    const auto shares = popularity(3);
    DemandAverage average(experts);
    for (int index = 0; index < 30; ++index) {
        average.add(window(shares, random));
    }
    EXPECT_LT(maxError(average, shares), 0.1);
}

TEST(DemandAverageTest, averageFollowsAShiftAfterOneWholeWindow)
{
    core::RandomSequence random(6);
    const auto before = popularity(3);
    const auto after = popularity(40);
    DemandAverage average(experts);
    for (int index = 0; index < 30; ++index) {
        average.add(window(before, random));
    }
    // The demand shifts in the middle of this window.
    auto mixed = window(before, random);
    const auto late = window(after, random);
    std::transform(mixed.begin(), mixed.end(), late.begin(), mixed.begin(),
                   [](auto left, auto right) { return (left + right) / 2; });
    average.add(mixed);
    average.add(window(after, random));
    EXPECT_LT(maxError(average, after), 0.25);
}

// In a large group shifts left the popular experts nearly as popular as before, at a similarity of 0.94 to 0.97. They
// were taken for noise, and the map followed them over ten windows.
TEST(DemandAverageTest, smallShiftOfSteadyDemandIsFollowedAfterOneWholeWindow)
{
    core::RandomSequence random(11);
    constexpr double littleNoise = 0.03;
    const auto before = popularity(3);
    const auto other = popularity(40);
    std::vector<double> after(experts);
    std::transform(before.begin(), before.end(), other.begin(), after.begin(),
                   [](double left, double right) { return 0.75 * left + 0.25 * right; });
    DemandAverage average(experts);
    for (int index = 0; index < 30; ++index) {
        average.add(window(before, random, littleNoise));
    }
    EXPECT_TRUE(average.isSettled());
    average.add(window(after, random, littleNoise));
    EXPECT_TRUE(average.isProvisional());
    average.add(window(after, random, littleNoise));
    EXPECT_FALSE(average.isProvisional());
    EXPECT_LT(maxError(average, after), 0.1);
}

// Each supposed shift discards the average and may start a switch.
TEST(DemandAverageTest, steadyDemandHasNoShifts)
{
    for (const double noise : {0.01, 0.05, 0.2}) {
        core::RandomSequence random(12);
        DemandAverage average(experts);
        int shifts = -1;
        for (int index = 0; index < 500; ++index) {
            average.add(window(popularity(3), random, noise));
            shifts += average.isProvisional() ? 1 : 0;
        }
        EXPECT_LE(shifts, 0) << noise;
    }
}

TEST(DemandAverageTest, isSettledSomeWindowsAfterAShift)
{
    core::RandomSequence random(9);
    DemandAverage average(experts);
    for (int index = 0; index < 10; ++index) {
        average.add(window(popularity(3), random));
    }
    EXPECT_TRUE(average.isSettled());
    average.add(window(popularity(40), random));
    EXPECT_FALSE(average.isSettled());
    for (int index = 0; index < 10; ++index) {
        average.add(window(popularity(40), random));
    }
    EXPECT_TRUE(average.isSettled());
}

TEST(DemandAverageTest, windowWithFewChoicesIsNotAShift)
{
    core::RandomSequence random(7);
    const auto shares = popularity(3);
    DemandAverage average(experts);
    for (int index = 0; index < 30; ++index) {
        average.add(window(shares, random));
    }
    std::vector<std::uint64_t> few(experts, 0);
    few[50] = 40;
    average.add(few);
    EXPECT_LT(maxError(average, shares), 0.1);
}

TEST(DemandAverageTest, emptyWindowChangesNothing)
{
    core::RandomSequence random(8);
    DemandAverage average(experts);
    average.add(window(popularity(3), random));
    const auto before = average.sums();
    average.add(std::vector<std::uint64_t>(experts, 0));
    EXPECT_EQ(average.sums(), before);
}

} // namespace lycheelanding::rankgroups

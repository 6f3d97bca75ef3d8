#include "lycheelanding/decisions/intake/demandshares.h"

#include <gtest/gtest.h>

#include <numeric>

namespace lycheelanding::decisions::intake {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint start(1h);
const core::ServiceId drafts("drafts");

/// Entries at which requests arrive at constant rates, after ten seconds.
std::vector<double> fractionsOf(const std::vector<int> &perSecond, std::size_t reporting)
{
    std::vector<DemandShares> entries(perSecond.size());
    for (std::size_t entry = 0; entry < entries.size(); ++entry) {
        for (int arrival = 0; arrival < perSecond[entry] * 10; ++arrival) {
            entries[entry].requestArrived(drafts, start + arrival * 1s / perSecond[entry]);
        }
    }
    const auto now = start + 10s;
    TotalDemand total{drafts, 0.0, reporting};
    for (std::size_t entry = 0; entry < reporting; ++entry) {
        total.perSecond += entries[entry].report(drafts, now).perSecond;
    }
    std::vector<double> fractions;
    for (std::size_t entry = 0; entry < reporting; ++entry) {
        entries[entry].totalReported(total, now);
        fractions.push_back(entries[entry].fraction(drafts, entries.size(), now));
    }
    return fractions;
}

} // namespace

// With even shares the entries that most callers had reached refused requests while others left their shares unused.
TEST(DemandShares, entryWithMoreRequestsGetsMore)
{
    const auto fractions = fractionsOf({4, 40, 20}, 3);
    EXPECT_NEAR(fractions[0], 0.1 / 3 + 0.9 * 4 / 64, 0.01);
    EXPECT_NEAR(fractions[1], 0.1 / 3 + 0.9 * 40 / 64, 0.02);
    EXPECT_NEAR(std::accumulate(fractions.begin(), fractions.end(), 0.0), 1.0, 1e-9);
}

// An entry that has learnt of a limit first would take the shares of all others.
TEST(DemandShares, entriesThatHaveNotReportedKeepTheirShares)
{
    EXPECT_NEAR(fractionsOf({10, 10, 10, 10}, 1).front(), 0.25, 1e-9);
    const auto fractions = fractionsOf({10, 30, 10, 10}, 2);
    EXPECT_NEAR(fractions[0] + fractions[1], 0.5, 1e-9);
}

TEST(DemandShares, shareIsEvenWithoutReports)
{
    DemandShares shares;
    shares.requestArrived(drafts, start);
    EXPECT_EQ(shares.fraction(drafts, 4, start), 0.25);
    shares.report(drafts, start);
    shares.totalReported({drafts, 100.0, 4}, start);
    EXPECT_LT(shares.fraction(drafts, 4, start), 0.1);
    EXPECT_EQ(shares.fraction(drafts, 4, start + 4s), 0.25);
}

// A report that contradicts what this entry knows of itself.
TEST(DemandShares, totalBelowTheOwnDemandGivesNoMoreThanAll)
{
    DemandShares shares;
    for (int arrival = 0; arrival < 100; ++arrival) {
        shares.requestArrived(drafts, start);
    }
    shares.report(drafts, start);
    for (const double total : {0.0, 0.1, -5.0}) {
        shares.totalReported({drafts, total, 1}, start);
        EXPECT_LE(shares.fraction(drafts, 1, start), 1.0);
        EXPECT_GT(shares.fraction(drafts, 1, start), 0.9);
    }
}

} // namespace lycheelanding::decisions::intake

#include "lycheelanding/decisions/intake/coldbackends.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>
#include <map>
#include <optional>
#include <vector>

namespace lycheelanding::decisions::intake {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint start(1h);
const core::ServiceId drafts("drafts");
const BackendId backend("backend-1");
const std::map<core::ServiceId, ColdTerms> terms{{drafts, {10s, 28.0}}};

ColdRegistration registration(std::uint64_t startedAtMs, std::uint64_t sequence,
                              std::optional<core::Duration> remaining)
{
    return {backend, drafts, startedAtMs, sequence, sequence, remaining, false};
}

/// What the changes say of the backend server.
struct Reported
{
    void apply(const ColdChanges &changes)
    {
        for (const auto &change : changes) {
            const auto *cold = std::get_if<BackendCold>(&change);
            until = cold != nullptr ? std::optional(cold->until) : std::nullopt;
        }
    }

    std::optional<core::TimePoint> until;
};

/// Computes from all reports so far until when the backend server is cold.
struct Oracle
{
    struct Report
    {
        std::uint64_t startedAtMs = 0;
        /// 0 for an answer.
        std::uint64_t sequence = 0;
        std::optional<core::Duration> remaining;
        core::TimePoint sentAt;
        core::TimePoint at;
    };

    std::optional<core::TimePoint> coldUntil(core::TimePoint now) const
    {
        std::uint64_t newest = 0;
        for (const auto &report : reports) {
            newest = report.sequence > 0 ? std::max(newest, report.startedAtMs) : newest;
        }
        std::uint64_t sequence = 0;
        core::TimePoint at;
        core::TimePoint until;
        for (const auto &report : reports) {
            const bool isLater = report.sequence > 0 ? report.sequence > sequence : sequence > 0 && report.sentAt >= at;
            if (report.startedAtMs != newest || !isLater) {
                continue;
            }
            const bool isFirst = sequence == 0;
            sequence = std::max(sequence, report.sequence);
            if (report.remaining || isFirst) {
                at = report.at;
                until = at + report.remaining.value_or(10s);
            }
        }
        return now < until ? std::optional(until) : std::nullopt;
    }

    std::vector<Report> reports;
};

} // namespace

// A stale or reordered report made a cold backend server warm, or a warm one cold.
RC_GTEST_PROP(ColdBackendsFuzz, latestReportOfTheLatestIncarnationHolds, ())
{
    ColdBackends cold;
    cold.setTerms(terms, start);
    Oracle oracle;
    Reported reported;
    auto now = start;
    const int steps = *rc::gen::inRange(1, 40);
    for (int step = 0; step < steps; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 2500));
        reported.apply(cold.tick(now));
        const auto startedAtMs = *rc::gen::inRange<std::uint64_t>(1, 4);
        const auto remaining = std::chrono::milliseconds(*rc::gen::inRange(0, 12) * 1000);
        if (step > 0 && *rc::gen::inRange(0, 3) == 0) {
            const auto sentAt = now - std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
            oracle.reports.push_back({startedAtMs, 0, remaining, sentAt, now});
            reported.apply(cold.answered({backend, drafts, startedAtMs, remaining, sentAt}, now));
        } else {
            const auto sequence = *rc::gen::inRange<std::uint64_t>(1, 8);
            const auto stated = *rc::gen::inRange(0, 4) == 0 ? std::nullopt : std::optional<core::Duration>(remaining);
            oracle.reports.push_back({startedAtMs, sequence, stated, now, now});
            reported.apply(cold.registered(registration(startedAtMs, sequence, stated), now));
        }
        RC_ASSERT(reported.until == oracle.coldUntil(now));
        RC_ASSERT(cold.coldCount() == (reported.until ? 1U : 0U));
    }
}

TEST(ColdBackends, newStartWithoutAStatedTimeIsColdForTheTimeOfItsService)
{
    ColdBackends cold;
    cold.setTerms(terms, start);
    auto first = registration(7, 1, std::nullopt);
    first.isFirstListing = true;
    EXPECT_TRUE(cold.registered(first, start).empty()) << "it may have started long ago";
    EXPECT_EQ(cold.registered(registration(8, 1, std::nullopt), start + 1s).size(), 1U);
    EXPECT_TRUE(cold.tick(start + 10900ms).empty());
    const auto changes = cold.tick(start + 11s);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(std::get<BackendWarm>(changes.front()).source, ColdSource::Time);
    EXPECT_EQ(std::get<BackendWarm>(changes.front()).age, 10s);
}

// The registrations may be listed before the configuration is known, and a service may lose its limit.
TEST(ColdBackends, termsOfTheConfigurationApplyToReportsBeforeAndAfter)
{
    ColdBackends cold;
    EXPECT_TRUE(cold.registered(registration(7, 1, 9s), start).empty());
    const auto changes = cold.setTerms(terms, start + 1s);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(std::get<BackendCold>(changes.front()).until, start + 9s);
    EXPECT_EQ(cold.setTerms({{drafts, {10s, 0.0}}}, start + 2s).size(), 1U);
    EXPECT_EQ(cold.coldCount(), 0U);
}

TEST(ColdBackends, impossibleTimesAreInvalid)
{
    for (const double milliseconds :
         {-1.0, 1e30, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN()}) {
        EXPECT_FALSE(coldTimeFrom(milliseconds)) << milliseconds;
    }
    EXPECT_EQ(coldTimeFrom(812.5), core::Duration(812500us));
}

} // namespace lycheelanding::decisions::intake

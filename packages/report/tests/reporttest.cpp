#include "lycheelanding/report/burnreport.h"
#include "lycheelanding/report/burntracker.h"
#include "lycheelanding/report/metrics.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace lycheelanding::report {

namespace {

using namespace std::chrono_literals;

BurnKey modelKey(const std::string &organisation)
{
    return {TargetKind::Model, "drafter", core::OrganisationId(organisation)};
}

std::vector<configuration::Objective> modelObjectives()
{
    configuration::Objective defaultObjective;
    defaultObjective.model = core::ModelId("drafter");
    defaultObjective.availability = 0.99;
    auto organisationObjective = defaultObjective;
    organisationObjective.organisation = core::OrganisationId("large");
    organisationObjective.firstTokenMs = 100;
    return {defaultObjective, organisationObjective};
}

const BurnRow *rowOf(const BurnReport &report, Indicator indicator)
{
    const auto found = std::find_if(report.rows.begin(), report.rows.end(),
                                    [&](const BurnRow &row) { return row.indicator == indicator; });
    return found == report.rows.end() ? nullptr : &*found;
}

struct Event
{
    int minute;
    bool succeeded;
};

} // namespace

TEST(MetricsTest, prometheusTextContainsEveryMetricUnderADistinctName)
{
    Metrics metrics;
    core::ManualClock clock;
    metrics.increment(Counter::ExpertBytesMoved, 7);
    metrics.countRefusal(core::ErrorKind::Overloaded);
    metrics.countRefusal(static_cast<core::ErrorKind>(200));
    metrics.set(Gauge::ConfigurationVersion, 12);
    const auto text = metrics.prometheusText(clock.now());
    EXPECT_NE(text.find("\nlycheelanding_expert_bytes_moved_total 7\n"), std::string::npos);
    EXPECT_NE(text.find("\nlycheelanding_refusals_total{kind=\"overloaded\"} 1\n"), std::string::npos);
    EXPECT_NE(text.find("\nlycheelanding_refusals_total{kind=\"internal\"} 1\n"), std::string::npos);
    EXPECT_NE(text.find("\nlycheelanding_configuration_version 12\n"), std::string::npos);
    std::set<std::string_view> names;
    for (const auto texts : {counterTexts(), gaugeTexts(), latencyTexts()}) {
        for (const auto &metric : texts) {
            EXPECT_TRUE(names.insert(metric.name).second) << metric.name;
            EXPECT_NE(text.find("# HELP lycheelanding_" + std::string(metric.name)), std::string::npos);
        }
    }
}

TEST(LatencySummaryTest, quantilesCoverOnlyTheLastWindows)
{
    LatencySummary summary;
    core::ManualClock clock;
    EXPECT_EQ(summary.statistics(clock.now()).quantiles[0], core::Duration());
    for (int index = 0; index < 10'000; ++index) {
        summary.record(std::chrono::milliseconds((index * 7919) % 1000), clock.now());
    }
    const auto early = summary.statistics(clock.now());
    EXPECT_NEAR(double(early.quantiles[0] / 1ms), 500, 30);
    EXPECT_NEAR(double(early.quantiles[1] / 1ms), 900, 30);
    EXPECT_NEAR(double(early.quantiles[2] / 1ms), 990, 30);
    for (int minute = 0; minute < 3; ++minute) {
        clock.advance(1min);
        for (int index = 0; index < 100; ++index) {
            summary.record(std::chrono::milliseconds(5), clock.now());
        }
    }
    const auto late = summary.statistics(clock.now());
    EXPECT_EQ(late.quantiles[2] / 1ms, 5);
    EXPECT_EQ(late.count, 10'300U);
    clock.advance(10min);
    EXPECT_EQ(summary.statistics(clock.now()).quantiles[2], core::Duration());
}

TEST(BurnTrackerTest, objectiveOfAnOrganisationTakesPrecedence)
{
    BurnTracker tracker;
    tracker.setObjectives(modelObjectives());
    EXPECT_EQ(tracker.thresholds(modelKey("large"))->firstToken, 100ms);
    EXPECT_EQ(tracker.thresholds(modelKey("small"))->firstToken, 2s);
    EXPECT_FALSE(tracker.thresholds({TargetKind::Service, "drafter", core::OrganisationId("large")}));
    tracker.record({{TargetKind::Model, "other", core::OrganisationId("large")}, true, {}, 0, 0}, {});
    EXPECT_EQ(tracker.seriesCount(), 0U);
}

RC_GTEST_PROP(BurnTrackerTest, windowsCountTheirEventsAndNoOlderOnes, ())
{
    const auto gaps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 200));
    core::ManualClock clock;
    BurnTracker tracker;
    tracker.setObjectives(modelObjectives());
    std::vector<Event> events;
    int minute = 0;
    for (const auto gap : gaps) {
        minute += gap;
        clock.advance(std::chrono::minutes(gap));
        events.push_back({minute, gap % 3 != 0});
        tracker.record({modelKey("o"), gap % 3 != 0, {}, 0, 0}, clock.now());
    }
    const auto counts = tracker.counts(clock.now());
    for (std::size_t window = 0; window < burnWindowCount; ++window) {
        const auto length = lengthOf(static_cast<BurnWindow>(window)).count();
        const auto bucket = length / std::int64_t(BurnTracker::bucketCounts[window]);
        // Buckets are discarded as a whole, so the counts may lack events from the oldest part of the window, up to the
        // length of one bucket.
        const auto countSince = [&](std::int64_t age, bool onlyBad) {
            return std::uint64_t(std::count_if(events.begin(), events.end(), [&](const Event &event) {
                return minute - event.minute < age && !(onlyBad && event.succeeded);
            }));
        };
        const auto count = events.empty() ? BurnCount{} : counts.series.at(modelKey("o"))[0][window];
        RC_ASSERT(count.total <= countSince(length, false));
        RC_ASSERT(count.total >= countSince(length - bucket, false));
        RC_ASSERT(count.bad <= countSince(length, true));
        RC_ASSERT(count.bad >= countSince(length - bucket, true));
    }
}

TEST(BurnCountsTest, mergeAddsCountsAndJsonRoundTripPreservesThem)
{
    BurnCounts counts;
    counts.series[modelKey("a")][1][2] = {3, 10};
    counts.series[{TargetKind::Service, "desk", core::OrganisationId("b")}][0][0] = {1, 2};
    const auto copy = core::valueOf(burnCountsFromJson(toJson(counts)));
    EXPECT_EQ(copy, counts);
    merge(counts, copy);
    EXPECT_EQ(counts.series.at(modelKey("a"))[1][2], (BurnCount{6, 20}));
    for (const auto *text : {"", "{}", R"({"series":[{"model":"m"}]})", R"({"series":[1]})", R"({"series":[{"model":
        "m","organisation":"o","availability":[[1]],"firstToken":[],"betweenTokens":[]}]})"}) {
        EXPECT_FALSE(core::isOk(burnCountsFromJson(text))) << text;
    }
}

TEST(BurnReportTest, alertNeedsBothWindowsOfAPair)
{
    struct Case
    {
        WindowCounts counts;
        AlertState alert;
    };
    const Case cases[] = {
        {{{{0, 100}, {0, 100}, {0, 100}, {0, 100}}}, AlertState::None},
        {{{{20, 100}, {20, 100}, {20, 1000}, {20, 9000}}}, AlertState::Fast},
        {{{{20, 100}, {20, 9000}, {20, 9000}, {20, 90000}}}, AlertState::None},
        {{{{0, 10}, {0, 100}, {20, 1000}, {200, 9000}}}, AlertState::Slow},
        {{{{1, 2}, {2, 3}, {2, 3}, {2, 3}}}, AlertState::None},
    };
    for (const auto &testCase : cases) {
        BurnCounts counts;
        counts.series[modelKey("o")][0] = testCase.counts;
        const auto report = makeBurnReport(modelObjectives(), {counts}, {});
        EXPECT_EQ(rowOf(report, Indicator::Availability)->alert, testCase.alert) << burnTable(report);
        EXPECT_EQ(rowOf(report, Indicator::FirstToken), nullptr);
    }
}

TEST(BurnReportTest, tableJsonAndPageListUnreachedEntries)
{
    BurnCounts counts;
    counts.series[modelKey("<o>")][0] = {{{50, 100}, {50, 100}, {50, 100}, {50, 100}}};
    const auto report = makeBurnReport(modelObjectives(), {counts, counts}, {{"http://10.0.0.9:80", "no <answer>"}});
    EXPECT_NEAR(report.rows.at(0).burnRates[0], 50, 1e-9);
    EXPECT_NE(burnTable(report).find("not counted: http://10.0.0.9:80: no <answer>"), std::string::npos);
    const auto json = nlohmann::json::parse(burnJson(report));
    EXPECT_EQ(json["unreached"][0]["entry"], "http://10.0.0.9:80");
    EXPECT_EQ(json["entriesReached"], 2);
    EXPECT_EQ(json["rows"][0]["alert"], "fast");
    EXPECT_EQ(json["rows"][0]["windows"]["1h"]["total"], 200);
    const auto page = burnPage(report);
    EXPECT_NE(page.find("no &lt;answer&gt;"), std::string::npos);
    EXPECT_EQ(page.find("<o>"), std::string::npos);
    EXPECT_NE(page.find("<svg"), std::string::npos);
}

// Kinds that were added after "internal" were counted as that one.
TEST(MetricsTest, refusalsOfEachKindAreCountedApart)
{
    Metrics metrics;
    for (const auto &answer : core::errorAnswers()) {
        metrics.countRefusal(answer.kind);
    }
    metrics.countRefusal(static_cast<core::ErrorKind>(250));
    for (const auto &answer : core::errorAnswers()) {
        EXPECT_EQ(metrics.refusals(answer.kind), answer.kind == core::ErrorKind::Internal ? 2U : 1U) << answer.name;
    }
}

} // namespace lycheelanding::report

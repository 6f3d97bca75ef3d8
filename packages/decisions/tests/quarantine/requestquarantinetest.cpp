#include "lycheelanding/decisions/quarantine/requestquarantine.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace lycheelanding::decisions::quarantine {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint start(1h);
const RequestFeature common("common");
const RequestFeature bad("bad");
const RequestFeature other("other");

CrashReport crash(const std::string &backend, RequestFeatures features, core::TimePoint time)
{
    return {backend, std::move(features), time};
}

bool isHeld(const RequestQuarantine &quarantine, const RequestFeatures &features, core::TimePoint now)
{
    return quarantine.holdTime(features, now).has_value();
}

RequestQuarantine crashedTwice()
{
    RequestQuarantine quarantine(QuarantineSettings(), 7);
    EXPECT_FALSE(quarantine.crashed(crash("b1", {common, bad}, start)));
    EXPECT_TRUE(quarantine.crashed(crash("b2", {common, bad}, start + 300ms)));
    return quarantine;
}

} // namespace

TEST(RequestQuarantine, secondCrashUnderTheSamePartsHoldsThem)
{
    const auto quarantine = crashedTwice();
    EXPECT_TRUE(isHeld(quarantine, {common, bad}, start + 300ms));
    EXPECT_FALSE(isHeld(quarantine, {common, other}, start + 300ms));
    EXPECT_FALSE(isHeld(quarantine, {other}, start + 300ms));
}

TEST(RequestQuarantine, oneBackendServerThatEndsUnderManyRequestsIsOneCrash)
{
    RequestQuarantine quarantine(QuarantineSettings(), 7);
    for (const auto *feature : {"a", "b", "c"}) {
        quarantine.crashed(crash("b1", {common, RequestFeature(feature)}, start));
    }
    quarantine.crashed(crash("b1", {common, bad}, start + 5ms));
    EXPECT_FALSE(isHeld(quarantine, {common, bad}, start + 10ms));
}

TEST(RequestQuarantine, partThatCrashesWithOtherCompanionsIsHeldWithoutThem)
{
    auto quarantine = crashedTwice();
    EXPECT_FALSE(isHeld(quarantine, {other, bad}, start + 400ms));
    quarantine.crashed(crash("b3", {other, bad}, start + 500ms));
    EXPECT_TRUE(isHeld(quarantine, {bad}, start + 500ms));
    EXPECT_TRUE(isHeld(quarantine, {RequestFeature("third"), bad}, start + 500ms));
}

// Sound requests that wait at the same backend servers share the first feature of the prompt, but not the crashing one.
TEST(RequestQuarantine, soundRequestsOfTheSameCrashesAreNotHeld)
{
    RequestQuarantine quarantine(QuarantineSettings(), 7);
    for (const auto *backend : {"b1", "b2"}) {
        quarantine.crashed(crash(backend, {common, other}, start));
        quarantine.crashed(crash(backend, {common, RequestFeature(backend)}, start));
        quarantine.crashed(crash(backend, {common, bad}, start));
    }
    EXPECT_TRUE(isHeld(quarantine, {common, bad}, start));
    EXPECT_FALSE(isHeld(quarantine, {common, RequestFeature("third")}, start));
}

TEST(RequestQuarantine, progressOfASoundRequestClearsTheCommonPart)
{
    auto quarantine = crashedTwice();
    EXPECT_TRUE(quarantine.progressed({{common, other}, start + 400ms}));
    EXPECT_FALSE(isHeld(quarantine, {common}, start + 400ms));
    // The common feature no longer explains the crashes, so that the other one is held alone.
    EXPECT_TRUE(isHeld(quarantine, {bad}, start + 400ms));
}

TEST(RequestQuarantine, reportOfACrashBeforeTheProgressChangesNothing)
{
    auto quarantine = crashedTwice();
    quarantine.progressed({{common, bad}, start + 1s});
    EXPECT_FALSE(isHeld(quarantine, {common, bad}, start + 1s));
    EXPECT_FALSE(quarantine.crashed(crash("b2", {common, bad}, start + 300ms)));
    EXPECT_FALSE(quarantine.crashed(crash("b3", {common, bad}, start + 600ms)));
    EXPECT_TRUE(quarantine.isEmpty());
}

// A sound feature that was held by chance is used again after one request of each entry has shown it.
TEST(RequestQuarantine, oneProbeAtATimeDecidesWhetherAPartIsHeldOn)
{
    const QuarantineSettings settings;
    auto quarantine = crashedTwice();
    const auto probeTime = start + 300ms + 2 * settings.holds[0];
    ASSERT_FALSE(isHeld(quarantine, {common, bad}, probeTime));
    EXPECT_TRUE(quarantine.sent({common, bad}, probeTime));
    EXPECT_TRUE(isHeld(quarantine, {common, bad}, probeTime + 1ms));

    auto failed = quarantine;
    failed.crashed(crash("b3", {common, bad}, probeTime + 200ms));
    EXPECT_TRUE(isHeld(failed, {common, bad}, probeTime + settings.holds[1]));

    quarantine.progressed({{common, bad}, probeTime + 200ms});
    EXPECT_FALSE(isHeld(quarantine, {common, bad}, probeTime + 201ms));
}

TEST(RequestQuarantine, probeOfAnotherEntryHoldsTheRequestsOfThisOne)
{
    const QuarantineSettings settings;
    auto quarantine = crashedTwice();
    const auto probeTime = start + 300ms + 2 * settings.holds[0];
    quarantine.probed({{common, bad}, probeTime});
    EXPECT_TRUE(isHeld(quarantine, {common, bad}, probeTime + 1ms));
    EXPECT_FALSE(isHeld(quarantine, {common, bad}, probeTime + settings.probeTimeout));
}

// Requests that are already at other backend servers crash them while the feature is held: no probe has failed.
TEST(RequestQuarantine, crashesDuringAHoldDoNotProlongIt)
{
    const QuarantineSettings settings;
    auto quarantine = crashedTwice();
    for (const auto *backend : {"b3", "b4", "b5"}) {
        quarantine.crashed(crash(backend, {common, bad}, start + 400ms));
    }
    EXPECT_FALSE(isHeld(quarantine, {common, bad}, start + 300ms + 2 * settings.holds[0]));
}

TEST(RequestQuarantine, reportsOfHeldPartsMakeAnotherEntryHoldThem)
{
    const auto quarantine = crashedTwice();
    RequestQuarantine another(QuarantineSettings(), 8);
    for (const auto &report : quarantine.heldReports(start + 1s)) {
        another.crashed(report);
    }
    EXPECT_TRUE(isHeld(another, {common, bad}, start + 1s));
    EXPECT_FALSE(isHeld(another, {common, other}, start + 1s));
}

TEST(RequestQuarantine, memoryIsBoundedAndOldSuspicionsAreForgotten)
{
    const QuarantineSettings settings;
    RequestQuarantine quarantine(settings, 7);
    for (std::size_t number = 0; number < 2 * settings.maxSuspects; ++number) {
        quarantine.crashed(crash("b" + std::to_string(number), {RequestFeature("p" + std::to_string(number))}, start));
    }
    EXPECT_FALSE(quarantine.isEmpty());
    quarantine.tick(start + settings.suspicionTime + 1ms);
    EXPECT_TRUE(quarantine.isEmpty());
}

// Many backend servers that end at once make many features suspected, which displaced the ones that were held.
TEST(RequestQuarantine, heldFeaturesAreKeptWhileManyOthersAreSuspected)
{
    const QuarantineSettings settings;
    RequestQuarantine quarantine(settings, 7);
    const RequestFeatures bad{RequestFeature("bad")};
    quarantine.crashed(crash("b1", bad, start));
    quarantine.crashed(crash("b2", bad, start));
    ASSERT_TRUE(quarantine.holdTime(bad, start));
    for (std::size_t number = 0; number < 2 * settings.maxSuspects; ++number) {
        quarantine.crashed(crash("b3", {RequestFeature("p" + std::to_string(number))}, start + 1s));
    }
    EXPECT_TRUE(quarantine.holdTime(bad, start + 1s));
}

/// Reports reach entries in different orders and several times; what they hold is the same.
RC_GTEST_PROP(RequestQuarantineFuzz, orderAndRepetitionOfCrashReportsDoNotMatter, ())
{
    const auto randomPart
        = rc::gen::map(rc::gen::inRange(0, 4), [](int number) { return RequestFeature("p" + std::to_string(number)); });
    const int count = *rc::gen::inRange(1, 8);
    std::vector<CrashReport> reports;
    for (int number = 0; number < count; ++number) {
        auto features = *rc::gen::container<RequestFeatures>(2, randomPart);
        reports.push_back(crash("b" + std::to_string(*rc::gen::inRange(0, 5)), std::move(features), start));
    }
    auto shuffled = reports;
    shuffled.insert(shuffled.end(), reports.begin(), reports.end());
    for (std::size_t index = shuffled.size(); index > 1; --index) {
        std::swap(shuffled[index - 1], shuffled[*rc::gen::inRange<std::size_t>(0, index)]);
    }
    RequestQuarantine left(QuarantineSettings(), 7);
    RequestQuarantine right(QuarantineSettings(), 7);
    for (const auto &report : reports) {
        left.crashed(report);
    }
    for (const auto &report : shuffled) {
        right.crashed(report);
    }
    for (int first = 0; first < 4; ++first) {
        for (int second = first; second < 4; ++second) {
            const RequestFeatures features{RequestFeature("p" + std::to_string(first)),
                                           RequestFeature("p" + std::to_string(second))};
            RC_ASSERT(left.holdTime(features, start) == right.holdTime(features, start));
        }
    }
}

} // namespace lycheelanding::decisions::quarantine

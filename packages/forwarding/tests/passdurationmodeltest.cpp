#include "lycheelanding/forwarding/passdurationmodel.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace lycheelanding::forwarding {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint start(1h);
constexpr StepTimes steps{4840us, 362us, 6.0};
constexpr core::Duration limit = 110ms;

core::Duration passDuration(double slowdown, double running)
{
    const std::chrono::duration<double> time
        = slowdown * steps.stepsPerPass * (steps.step + running * steps.perRequest);
    return std::chrono::duration_cast<core::Duration>(time);
}

void recordAndUpdate(PassDurationModel &model, core::Duration interval, double meanRunning, core::TimePoint now)
{
    if (model.recordInterval(interval, now)) {
        model.endWindow(meanRunning, now);
    }
}

/// Simulates passes of a group whose ranks always run the maximum number of requests, up to `slots` each.
struct SaturatedGroup
{
    void simulate(double slowdown, int passes)
    {
        for (int pass = 0; pass < passes; ++pass) {
            lastPass = passDuration(slowdown, running);
            now += lastPass;
            recordAndUpdate(model, lastPass, running, now);
            running = std::clamp(model.maxRunning(limit, now).value_or(0.75 * slots), 1.0, slots);
        }
    }

    double slots = 12.0;
    double running = 9.0;
    core::TimePoint now = start;
    core::Duration lastPass{};
    PassDurationModel model{steps};
};

} // namespace

TEST(PassDurationModelTest, hasNoEstimateWithoutRecentEvents)
{
    PassDurationModel model(steps);
    EXPECT_FALSE(model.maxRunning(limit, start));
    recordAndUpdate(model, 60ms, 5.0, start);
    EXPECT_TRUE(model.maxRunning(limit, start + 500ms));
    EXPECT_FALSE(model.maxRunning(limit, start + 2s));
}

// A backlog after a suspension or a power loss uses all capacity that it gets. With all slots in use each pass would be
// slightly too long, and each stream would miss its target.
TEST(PassDurationModelTest, backlogIsLimitedToTheMaximumPassDuration)
{
    constexpr double unevenExpertSlowdown = 2.1;
    ASSERT_GT(passDuration(unevenExpertSlowdown, 12.0), 115ms);
    SaturatedGroup group;
    group.simulate(unevenExpertSlowdown, 40);
    EXPECT_LE(group.lastPass, limit + 1ms);
    EXPECT_GE(group.lastPass, limit - 5ms);
}

TEST(PassDurationModelTest, evenExpertLoadAllowsAllSlots)
{
    SaturatedGroup group;
    group.simulate(1.3, 40);
    EXPECT_DOUBLE_EQ(group.running, group.slots);
}

TEST(PassDurationModelTest, changeOfDemandIsFollowedWithinAFewPasses)
{
    SaturatedGroup group;
    group.simulate(1.3, 40);
    group.simulate(2.3, 8);
    EXPECT_LE(group.lastPass, limit + 5ms);
}

TEST(PassDurationModelTest, longIntervalOfOneStreamIsNotMistakenForAPass)
{
    PassDurationModel model(steps);
    auto now = start;
    for (int pass = 0; pass < 20; ++pass) {
        now += 70ms;
        // One stream waited for the prefill of its prompt to be repeated; the other shows the pass duration.
        recordAndUpdate(model, 400ms, 8.0, now - 30ms);
        recordAndUpdate(model, 70ms, 8.0, now);
    }
    EXPECT_GT(model.maxRunning(limit, now).value_or(0.0), 12.0);
}

// Two events that arrive together are no pass. With 60 streams of a group each second window had such an interval, so
// that the limit was 1,400 requests, and passes stayed too long for 16 s.
TEST(PassDurationModelTest, shortIntervalOfOneStreamIsNotMistakenForAPass)
{
    constexpr int streams = 60;
    PassDurationModel model(steps);
    auto now = start;
    for (int pass = 0; pass < 20; ++pass) {
        now += 140ms;
        for (int stream = 0; stream < streams; ++stream) {
            const bool arrivesWithTheEventBefore = stream == 7 && pass % 2 == 1;
            model.recordInterval(arrivesWithTheEventBefore ? 0ms : 140ms, now);
        }
        model.endWindow(12.0, now);
    }
    ASSERT_TRUE(model.maxRunning(limit, now));
    EXPECT_LT(*model.maxRunning(limit, now), 12.0);
}

TEST(PassDurationModelTest, aSingleStreamShowsThePassDuration)
{
    PassDurationModel model(steps);
    auto now = start;
    for (int pass = 0; pass < 20; ++pass) {
        now += 140ms;
        recordAndUpdate(model, 140ms, 12.0, now);
    }
    EXPECT_LT(model.maxRunning(limit, now).value_or(0.0), 12.0);
}

// Guards against streams that are all late at each shift of the demand for experts: engines must have run few enough
// requests before it.
TEST(PassDurationModelTest, limitAtThePeakCoversTheNextShiftOfDemand)
{
    PassDurationModel model(steps);
    auto now = start;
    const auto runPasses = [&](double slowdown, core::Duration duration) {
        for (const auto end = now + duration; now < end;) {
            const auto pass = passDuration(slowdown, 6.0);
            now += pass;
            recordAndUpdate(model, pass, 6.0, now);
        }
    };
    runPasses(1.1, 3s);
    const auto calm = model.maxRunningAtPeak(limit, now);
    ASSERT_TRUE(calm);
    EXPECT_NEAR(*calm, *model.maxRunning(limit, now), 1.0);
    runPasses(2.2, 500ms);
    runPasses(1.1, 2s);
    const auto afterShift = model.maxRunningAtPeak(limit, now);
    ASSERT_TRUE(afterShift);
    EXPECT_LE(passDuration(2.2, *afterShift), limit + 1ms);
    EXPECT_GT(*model.maxRunning(limit, now), *afterShift + 2.0);
    // The peak is forgotten when shifts end.
    runPasses(1.1, 9s);
    EXPECT_NEAR(*model.maxRunningAtPeak(limit, now), *model.maxRunning(limit, now), 1.0);
}

// Guards against a stalled group, whose streams have gaps of seconds, counting as a slow one for seconds after it.
TEST(PassDurationModelTest, stallIsNoPeak)
{
    PassDurationModel model(steps);
    auto now = start;
    for (const core::Duration interval : {core::Duration(60ms), core::Duration(4s), core::Duration(60ms)}) {
        now += interval;
        recordAndUpdate(model, interval, 6.0, now);
    }
    for (int pass = 0; pass < 20; ++pass) {
        now += 60ms;
        recordAndUpdate(model, 60ms, 6.0, now);
    }
    EXPECT_GT(*model.maxRunningAtPeak(limit, now), 6.0);
}

} // namespace lycheelanding::forwarding

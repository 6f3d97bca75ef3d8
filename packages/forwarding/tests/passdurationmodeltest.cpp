#include "lycheelanding/forwarding/passdurationmodel.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace lycheelanding::forwarding {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint start(1h);
constexpr StepTimes steps{4840us, 362us, 6.0};
constexpr core::Duration limit = 110ms;

core::Duration passTime(double factor, double running)
{
    const std::chrono::duration<double> time = factor * steps.stepsPerPass * (steps.step + running * steps.perRequest);
    return std::chrono::duration_cast<core::Duration>(time);
}

void see(PassDurationModel &model, core::Duration pause, double meanRunning, core::TimePoint now)
{
    if (model.recordInterval(pause, now)) {
        model.endWindow(meanRunning, now);
    }
}

/// Plays passes of a group that gets all the requests that may run, up to `slots` a rank.
struct FullGroup
{
    void play(double factor, int passes)
    {
        for (int pass = 0; pass < passes; ++pass) {
            lastPass = passTime(factor, running);
            now += lastPass;
            see(model, lastPass, running, now);
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

TEST(PassDurationModelTest, saysNothingWithoutRecentEvents)
{
    PassDurationModel model(steps);
    EXPECT_FALSE(model.maxRunning(limit, start));
    see(model, 60ms, 5.0, start);
    EXPECT_TRUE(model.maxRunning(limit, start + 500ms));
    EXPECT_FALSE(model.maxRunning(limit, start + 2s));
}

// A backlog after a freeze or a power loss fills all that may run. With all places taken each pass would be a little
// too long, and each stream late.
TEST(PassDurationModelTest, backlogIsTakenOnlyAsFarAsPassesStayShort)
{
    constexpr double unevenExperts = 2.1;
    ASSERT_GT(passTime(unevenExperts, 12.0), 115ms);
    FullGroup group;
    group.play(unevenExperts, 40);
    EXPECT_LE(group.lastPass, limit + 1ms);
    EXPECT_GE(group.lastPass, limit - 5ms);
}

TEST(PassDurationModelTest, evenExpertsLetAllPlacesBeUsed)
{
    FullGroup group;
    group.play(1.3, 40);
    EXPECT_DOUBLE_EQ(group.running, group.slots);
}

TEST(PassDurationModelTest, shiftOfDemandIsFollowedWithinSomePasses)
{
    FullGroup group;
    group.play(1.3, 40);
    group.play(2.3, 8);
    EXPECT_LE(group.lastPass, limit + 5ms);
}

TEST(PassDurationModelTest, pauseOfOneStreamIsNotTakenForAPass)
{
    PassDurationModel model(steps);
    auto now = start;
    for (int pass = 0; pass < 20; ++pass) {
        now += 70ms;
        // One stream waited for its prompt to be read again; the other shows the pass.
        see(model, 400ms, 8.0, now - 30ms);
        see(model, 70ms, 8.0, now);
    }
    EXPECT_GT(model.maxRunning(limit, now).value_or(0.0), 12.0);
}

} // namespace lycheelanding::forwarding

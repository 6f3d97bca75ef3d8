#include "lycheelanding/decisions/admission/concurrencylimits.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lycheelanding::decisions::admission {

namespace {

using namespace std::chrono_literals;

const core::VmId vm("vm-0");

} // namespace

TEST(ConcurrencyLimiterTest, limitFollowsTheLatency)
{
    ConcurrencyLimiter limiter({.initialLimit = 8.0});
    core::TimePoint now(1h);
    const auto run = [&](core::Duration latency) {
        for (int sample = 0; sample < 200; ++sample) {
            now += 10ms;
            while (limiter.hasCapacity()) {
                limiter.requestSent();
            }
            limiter.firstToken(latency, now);
            limiter.requestEnded(false, now);
        }
    };
    run(50ms);
    const std::size_t before = limiter.limit();
    EXPECT_GT(before, 8U);
    run(500ms);
    EXPECT_LT(limiter.limit(), before);
}

TEST(ConcurrencyLimiterTest, newBoundsApplyToExistingAndNewServers)
{
    ConcurrencyLimits limits({.initialLimit = 8.0});
    limits.setServers({vm});
    limits.configure({.initialLimit = 2.0, .maxLimit = 4.0});
    EXPECT_EQ(limits.limit(vm), 4U);
    const core::VmId later("later");
    limits.setServers({vm, later});
    EXPECT_EQ(limits.limit(later), 2U);
}

RC_GTEST_PROP(ConcurrencyLimiterTest, inFlightReturnsToZeroAndTheLimitStaysInBounds, ())
{
    ConcurrencyLimits limits({.initialLimit = 4.0, .minLimit = 2.0, .maxLimit = 6.0});
    limits.setServers({vm});
    core::TimePoint now(1h);
    std::size_t inFlight = 0;
    for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000))) {
        now += std::chrono::milliseconds(step);
        if (limits.saturated().empty()) {
            limits.requestSent(vm);
            ++inFlight;
        } else {
            limits.firstToken(vm, std::chrono::milliseconds(step), now);
            limits.requestEnded(vm, step % 7 == 0, now);
            --inFlight;
        }
        RC_ASSERT(limits.limit(vm) >= 2U);
        RC_ASSERT(limits.limit(vm) <= 6U);
    }
    for (; inFlight > 0; --inFlight) {
        limits.requestEnded(vm, false, now);
    }
    RC_ASSERT(limits.saturated().empty());
}

} // namespace lycheelanding::decisions::admission

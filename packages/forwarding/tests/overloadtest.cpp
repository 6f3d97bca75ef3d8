#include "lycheelanding/forwarding/overload.h"

#include <gtest/gtest.h>

namespace lycheelanding::forwarding {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint start(1h);
const core::ServiceId drafts("drafts");

} // namespace

// Guards against the refusal of each request that became late while the engines of a service were starting, or had no
// requests for a while: nothing had been sent, so that no queue seemed to drain.
TEST(Overload, lateRequestIsNotOutOfReachWhileNothingWasSentRecently)
{
    decisions::admission::QueueForecast forecast;
    WaitLimits limits;
    limits.lateSince = start + 200ms;
    limits.waitDeadline = start + 1500ms;
    const QueuedRequest request{{drafts, 0}, limits, start + 8s, "7", 1, true};
    forecast.requestArrived(drafts, 0, start);
    EXPECT_FALSE(isOutOfReach(request, forecast, start + 300ms));
    forecast.requestSent(drafts, start);
    forecast.requestArrived(drafts, 0, start);
    EXPECT_TRUE(isOutOfReach(request, forecast, start + 300ms)) << "more arrive than are sent";
}

} // namespace lycheelanding::forwarding

#include "lycheelanding/forwarding/refusal.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <vector>

namespace lycheelanding::forwarding {

namespace {

using namespace std::chrono_literals;

} // namespace

// After an outage hundreds of requests are given up within a second, and their callers retry once: without different
// delays they would all return at the same time.
TEST(RefusalTest, retriesAfterAnOutageAreSpreadOverTheTimeOfTheBacklog)
{
    constexpr int requests = 300;
    std::vector<std::chrono::milliseconds> delays;
    delays.reserve(requests);
    for (int request = 0; request < requests; ++request) {
        delays.push_back(retryAfterWaiting(1500ms, "request-" + std::to_string(request)));
    }
    const auto [first, last] = std::minmax_element(delays.begin(), delays.end());
    EXPECT_GE(*first, 1200ms);
    EXPECT_LE(*last, 2250ms);
    // No tenth of the range gets more than a fifth of the requests.
    for (auto begin = 1200ms; begin < 2250ms; begin += 105ms) {
        const auto count = std::count_if(delays.begin(), delays.end(),
                                         [begin](auto delay) { return delay >= begin && delay < begin + 105ms; });
        EXPECT_LE(count, 60);
    }
}

TEST(RefusalTest, retryDelayIsLimitedToWhatCallersHonour)
{
    core::Error error{core::ErrorKind::Overloaded, "full"};
    error.retryAfter = 2s;
    EXPECT_EQ(withRetryAfter(error, 8s).retryAfter, 2s);
    EXPECT_LT(*withRetryAfter(error, 3s).retryAfter, 1s);
    EXPECT_GT(*withRetryAfter(error, 3s).retryAfter, 900ms);
}

TEST(RefusalTest, retryDelayOfAHeldPromptIsTheTimeOfItsHold)
{
    core::Error error{core::ErrorKind::RequestHeld, "held"};
    error.retryAfter = 10min;
    EXPECT_EQ(withRetryAfter(error, 8s).retryAfter, 10min);
    EXPECT_EQ(refusalResponse(error).headers.find("Retry-After"), "600.000");
}

// A caller that is told an earlier time is refused again.
TEST(RefusalTest, retryDelayOfATurnedAwayRequestIsTheTimeOfThePause)
{
    core::Error error{core::ErrorKind::TurnedAway, "paused"};
    error.retryAfter = 20s;
    EXPECT_EQ(withRetryAfter(error, 1500ms).retryAfter, 20s);
}

TEST(RefusalTest, retriesThatAreToldTheSameTimeAreSpread)
{
    std::set<std::chrono::milliseconds> delays;
    for (int request = 0; request < 100; ++request) {
        delays.insert(spreadRetryAfter(4s, "request-" + std::to_string(request)));
        EXPECT_LT(spreadRetryAfter(1h, "request-" + std::to_string(request)), 1h + 3s);
    }
    EXPECT_GE(*delays.begin(), 4s);
    EXPECT_LE(*delays.rbegin(), 5s);
    EXPECT_GT(delays.size(), 60U);
    EXPECT_EQ(spreadRetryAfter(0ms, "request"), 0ms);
}

TEST(RefusalTest, errorsThatARetryCannotFixHaveNoRetryAfter)
{
    const core::Error error{core::ErrorKind::UnknownRoute, "no route"};
    EXPECT_FALSE(withRetryAfter(error, 8s).retryAfter);
    EXPECT_FALSE(refusalResponse(error).headers.find("Retry-After"));
}

} // namespace lycheelanding::forwarding

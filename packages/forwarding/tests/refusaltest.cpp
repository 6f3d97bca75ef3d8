#include "lycheelanding/forwarding/refusal.h"

#include <gtest/gtest.h>

#include <algorithm>
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
    core::Error error{core::ErrorKind::PromptHeld, "held"};
    error.retryAfter = 10min;
    EXPECT_EQ(withRetryAfter(error, 8s).retryAfter, 10min);
    EXPECT_EQ(refusalResponse(error).headers.find("Retry-After"), "600.000");
}

TEST(RefusalTest, errorsThatARetryCannotFixHaveNoRetryAfter)
{
    const core::Error error{core::ErrorKind::UnknownRoute, "no route"};
    EXPECT_FALSE(withRetryAfter(error, 8s).retryAfter);
    EXPECT_FALSE(refusalResponse(error).headers.find("Retry-After"));
}

} // namespace lycheelanding::forwarding

#include "lycheelanding/decisions/intake/rateshare.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <numeric>
#include <vector>

namespace lycheelanding::decisions::intake {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint start(1h);
constexpr core::Duration tick = 20ms;
/// The users' bound: what may come in `window`, as a multiple of what the rate allows and in requests.
constexpr core::Duration window = 4s;
constexpr double allowedMultiple = 1.5;
constexpr double allowedExtra = 5.0;

double allowedIn(double perSecond)
{
    return allowedMultiple * perSecond * std::chrono::duration<double>(window).count() + allowedExtra;
}

/// Uneven ones, with the sum 1.
rc::Gen<std::vector<double>> fractionsOf(std::size_t sharers)
{
    return rc::gen::map(rc::gen::container<std::vector<int>>(sharers, rc::gen::inRange(1, 50)),
                        [](const std::vector<int> &weights) {
                            const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
                            std::vector<double> fractions;
                            fractions.reserve(weights.size());
                            for (const int weight : weights) {
                                fractions.push_back(weight / sum);
                            }
                            return fractions;
                        });
}

/// Requests that may be sent until `time`, for one that always has one to send.
int sentUntil(RateShare &share, core::TimePoint time)
{
    int sent = 0;
    for (auto now = start; now < time; now += tick) {
        if (share.allows(now)) {
            share.recordSent(now);
            ++sent;
        }
    }
    return sent;
}

} // namespace

// The entries' reserves, used all at once after a quiet time, added up to more than the rate allows.
RC_GTEST_PROP(RateShareFuzz, sharersKeepTheRateWheneverTheyHaveRequests, ())
{
    const auto sharers = *rc::gen::inRange<std::size_t>(1, 60);
    const double perSecond = *rc::gen::inRange(0, 100) / 10.0;
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto fractions = *fractionsOf(sharers);
    std::vector<RateShare> shares;
    for (std::size_t sharer = 0; sharer < sharers; ++sharer) {
        shares.emplace_back(seed + sharer);
        shares.back().setRate({perSecond, {sharers, sharer}, fractions[sharer]}, start);
    }
    // Times with requests at every entry follow times with none.
    std::deque<core::TimePoint> sent;
    bool hasRequests = true;
    auto now = start;
    for (int phase = 0; phase < 6; ++phase, hasRequests = !hasRequests) {
        const auto end = now + std::chrono::milliseconds(*rc::gen::inRange(20, 15000));
        for (; now < end; now += tick) {
            for (auto &share : shares) {
                if (hasRequests && share.allows(now)) {
                    share.recordSent(now);
                    sent.push_back(now);
                }
            }
            while (!sent.empty() && sent.front() <= now - window) {
                sent.pop_front();
            }
            RC_ASSERT(static_cast<double>(sent.size()) <= allowedIn(perSecond));
        }
    }
}

TEST(RateShare, sharersTogetherUseTheWholeRate)
{
    constexpr std::size_t sharers = 4;
    int sent = 0;
    for (std::size_t sharer = 0; sharer < sharers; ++sharer) {
        RateShare share(sharer);
        share.setRate({2.0, {sharers, sharer}, 1.0 / sharers}, start);
        sent += sentUntil(share, start + 100s);
    }
    EXPECT_GE(sent, 190);
    EXPECT_LE(sent, 204);
}

// Only an answer shows that a backend server takes more again.
TEST(RateShare, rateOfZeroAllowsARequestNowAndThen)
{
    RateShare share(1);
    share.setRate({0.0, {1, 0}, 1.0}, start);
    const int sent = sentUntil(share, start + 60s);
    EXPECT_GE(sent, 3);
    EXPECT_LE(sent, 12);
}

TEST(RateShare, higherRateAppliesToTheTurnThatIsAwaited)
{
    RateShare share(1);
    share.setRate({0.1, {4, 0}, 0.25}, start);
    share.setRate({100.0, {1, 0}, 1.0}, start + 1ms);
    EXPECT_TRUE(share.allows(start + 20ms));
}

// A backend server may state any number. The time between two turns of a very high rate was zero, and divided by.
TEST(RateShare, rateWithoutBoundAllowsRequestsAndCanBeLowered)
{
    for (const double perSecond : {1e12, 1e300}) {
        RateShare share(1);
        share.setRate({perSecond, {4, 0}, 0.25}, start);
        EXPECT_GT(share.turnsUntil(start + 1s, start), 1U) << perSecond;
        EXPECT_GT(sentUntil(share, start + 1s), 1) << perSecond;
        share.setRate({4.0, {4, 0}, 0.25}, start + 1s);
        const auto turns = share.turnsUntil(start + 11s, start + 1s);
        EXPECT_GE(turns, 10U) << perSecond;
        EXPECT_LE(turns, 12U) << perSecond;
    }
}

} // namespace lycheelanding::decisions::intake

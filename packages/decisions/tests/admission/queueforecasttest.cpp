#include "lycheelanding/decisions/admission/queueforecast.h"

#include <gtest/gtest.h>

#include <map>

namespace lycheelanding::decisions::admission {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint start(1h);
const core::ServiceId drafts("drafts");
constexpr std::uint32_t urgent = 0;
constexpr std::uint32_t ordinary = 1;

/// Steady traffic of one entry in virtual time.
struct Traffic
{
    void run(core::Duration duration)
    {
        for (const auto end = now + duration; now < end; now += 100ms) {
            for (int request = 0; request < urgentPerTick; ++request) {
                forecast.requestArrived(drafts, urgent, now);
            }
            for (int request = 0; request < ordinaryPerTick; ++request) {
                forecast.requestArrived(drafts, ordinary, now);
            }
            for (int request = 0; request < sentPerTick; ++request) {
                forecast.requestSent(drafts, now);
            }
        }
    }

    QueueForecast forecast;
    core::TimePoint now = start;
    int urgentPerTick = 0;
    int ordinaryPerTick = 2;
    int sentPerTick = 4;
};

} // namespace

// Guards against refusals while the backlog of a short surge drains.
TEST(QueueForecastTest, queueDrainsByTheSurplusOfPlaces)
{
    Traffic traffic;
    traffic.run(5s);
    const auto drainTime = traffic.forecast.drainTime({drafts, ordinary}, 20, traffic.now);
    ASSERT_TRUE(drainTime);
    EXPECT_GT(*drainTime, 800ms);
    EXPECT_LT(*drainTime, 1300ms);
    EXPECT_EQ(traffic.forecast.drainTime({drafts, ordinary}, 0, traffic.now), core::Duration::zero());
}

// Guards against late requests that wait behind a crest of the demand, in which more arrive than can be sent.
TEST(QueueForecastTest, queueAtTheCrestOfAWaveDoesNotDrain)
{
    Traffic traffic;
    traffic.ordinaryPerTick = 6;
    traffic.run(5s);
    EXPECT_FALSE(traffic.forecast.drainTime({drafts, ordinary}, 5, traffic.now));
    traffic.ordinaryPerTick = 2;
    traffic.run(3s);
    EXPECT_TRUE(traffic.forecast.drainTime({drafts, ordinary}, 5, traffic.now));
}

// Guards against a crowd of the least urgent class that makes entries refuse the most urgent one.
TEST(QueueForecastTest, crowdOfALessUrgentClassDoesNotDelayTheUrgentOne)
{
    Traffic traffic;
    traffic.urgentPerTick = 2;
    traffic.ordinaryPerTick = 10;
    traffic.run(5s);
    EXPECT_FALSE(traffic.forecast.drainTime({drafts, ordinary}, 10, traffic.now));
    EXPECT_TRUE(traffic.forecast.drainTime({drafts, urgent}, 10, traffic.now));
}

// Guards against callers that are all told to return at the same moment, and against times that none of them accepts.
TEST(QueueForecastTest, returnsOfRefusedCallersAreSpread)
{
    Traffic traffic;
    traffic.ordinaryPerTick = 8;
    traffic.run(5s);
    std::map<int, int> returnsByHalfSecond;
    for (int caller = 0; caller < 24; ++caller) {
        const auto delay = traffic.forecast.nextReturn({drafts, ordinary}, 2500ms, traffic.now);
        EXPECT_GE(delay, 500ms);
        EXPECT_LE(delay, 2500ms);
        ++returnsByHalfSecond[static_cast<int>(delay / 500ms)];
    }
    // 30 % of 40 sent requests per second, and one at the edge.
    for (const auto &[halfSecond, returns] : returnsByHalfSecond) {
        EXPECT_LE(returns, 7) << halfSecond;
    }
}

} // namespace lycheelanding::decisions::admission

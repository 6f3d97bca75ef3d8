#include "lycheelanding/forwarding/waitingrequests.h"

#include <gtest/gtest.h>

#include <functional>
#include <vector>

namespace lycheelanding::forwarding {

namespace {

using namespace std::chrono_literals;

const core::TimePoint start = core::TimePoint(1h);
const core::ServiceId drafts("drafts");

struct FakeRequest
{
    bool trySend()
    {
        if (*places == 0) {
            return false;
        }
        --*places;
        order->push_back(name);
        return true;
    }
    void onWaitTimeout()
    {
        isGivenUp = true;
        if (onEnd) {
            onEnd();
        }
    }
    bool isFinished() const { return isEnded; }
    core::TimePoint waitDeadline() const { return until; }
    const core::ServiceId &service() const { return drafts; }
    std::uint32_t priority() const { return rank; }
    bool isLate(core::TimePoint now) const { return now > lateSince; }

    std::string name;
    std::uint32_t rank = 0;
    core::TimePoint until = start + 1s;
    core::TimePoint lateSince = start + 1s;
    int *places = nullptr;
    std::vector<std::string> *order = nullptr;
    std::function<void()> onEnd = nullptr;
    bool isEnded = false;
    bool isGivenUp = false;
};

struct Queues
{
    std::shared_ptr<FakeRequest> add(const std::string &name, std::uint32_t rank = 0)
    {
        auto request = std::make_shared<FakeRequest>();
        request->name = name;
        request->rank = rank;
        request->places = &places;
        request->order = &order;
        waiting.add(request);
        return request;
    }

    int places = 0;
    std::vector<std::string> order;
    WaitingRequests<FakeRequest> waiting;
};

} // namespace

TEST(WaitingRequests, urgentOnesGoFirstAndEqualOnesInTheOrderOfTheirArrival)
{
    Queues queues;
    queues.add("late", 2);
    queues.add("first", 1);
    queues.add("second", 1);
    queues.places = 2;
    queues.waiting.advance(start);
    EXPECT_EQ(queues.order, (std::vector<std::string>{"first", "second"}));
    EXPECT_TRUE(queues.waiting.hasWaiting(drafts, 2, start));
    EXPECT_FALSE(queues.waiting.hasWaiting(drafts, 1, start));
}

TEST(WaitingRequests, thoseThatHaveWaitedLongEnoughAreGivenUpAndEndedOnesForgotten)
{
    Queues queues;
    const auto tired = queues.add("tired");
    tired->until = start;
    queues.add("gone")->isEnded = true;
    queues.waiting.advance(start);
    EXPECT_TRUE(tired->isGivenUp);
    EXPECT_EQ(queues.waiting.size(), 0U);
}

/// After a power loss the requests of two seconds stood in the queue and made every later one late for four seconds.
TEST(WaitingRequests, backlogAfterAPowerLossDoesNotMakeLaterRequestsLate)
{
    Queues queues;
    for (const char *name : {"late-1", "late-2", "late-3"}) {
        queues.add(name)->lateSince = start - 1s;
    }
    queues.add("fresh-1");
    EXPECT_TRUE(queues.waiting.hasWaiting(drafts, 0, start));
    queues.places = 2;
    queues.waiting.advance(start);
    EXPECT_EQ(queues.order, (std::vector<std::string>{"fresh-1", "late-1"}));
    EXPECT_FALSE(queues.waiting.hasWaiting(drafts, 0, start));
    queues.add("fresh-2");
    queues.places = 3;
    queues.waiting.advance(start);
    EXPECT_EQ(queues.order, (std::vector<std::string>{"fresh-1", "late-1", "fresh-2", "late-2", "late-3"}));
}

/// A given-up request ended and called advance() within advance(): an entry crashed on a day with a power loss.
TEST(WaitingRequests, requestThatEndsWhileTheQueuesAdvanceMayCallBack)
{
    Queues queues;
    for (int number = 0; number < 3; ++number) {
        const auto request = queues.add("request");
        request->until = start;
        request->onEnd = [&queues] {
            queues.waiting.advance(start);
            queues.add("added");
        };
    }
    queues.waiting.advance(start);
    EXPECT_EQ(queues.waiting.size(), 3U);
    queues.places = 3;
    queues.waiting.advance(start);
    EXPECT_EQ(queues.order.size(), 3U);
}

} // namespace lycheelanding::forwarding

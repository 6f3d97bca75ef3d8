#include "lycheelanding/forwarding/waitingrequests.h"

#include <gtest/gtest.h>

#include <algorithm>
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
        if (*capacity == 0) {
            return false;
        }
        --*capacity;
        sentNames->push_back(name);
        return true;
    }
    void onWaitTimeout()
    {
        isGivenUp = true;
        if (onGivenUp) {
            onGivenUp();
        }
    }
    bool isFinished() const { return hasFinished; }
    core::TimePoint waitDeadline() const { return deadline; }
    const core::ServiceId &service() const { return drafts; }
    std::uint32_t priority() const { return priorityLevel; }
    bool isLate(core::TimePoint now) const { return now > lateSince; }

    std::string name;
    std::uint32_t priorityLevel = 0;
    core::TimePoint deadline = start + 1s;
    core::TimePoint lateSince = start + 1s;
    int *capacity = nullptr;
    std::vector<std::string> *sentNames = nullptr;
    std::function<void()> onGivenUp = nullptr;
    bool hasFinished = false;
    bool isGivenUp = false;
};

struct Queues
{
    std::shared_ptr<FakeRequest> add(const std::string &name, std::uint32_t priorityLevel = 0)
    {
        auto request = std::make_shared<FakeRequest>();
        request->name = name;
        request->priorityLevel = priorityLevel;
        request->capacity = &capacity;
        request->sentNames = &sentNames;
        waiting.add(request);
        return request;
    }

    int capacity = 0;
    std::vector<std::string> sentNames;
    WaitingRequests<FakeRequest> waiting;
};

} // namespace

TEST(WaitingRequests, requestsAreSentByPriorityAndThenInOrderOfArrival)
{
    Queues queues;
    queues.add("late", 2);
    queues.add("first", 1);
    queues.add("second", 1);
    queues.capacity = 2;
    queues.waiting.advance(start);
    EXPECT_EQ(queues.sentNames, (std::vector<std::string>{"first", "second"}));
    EXPECT_TRUE(queues.waiting.hasWaiting(drafts, 2, start));
    EXPECT_FALSE(queues.waiting.hasWaiting(drafts, 1, start));
}

TEST(WaitingRequests, expiredRequestsAreGivenUpAndFinishedOnesRemoved)
{
    Queues queues;
    const auto expired = queues.add("tired");
    expired->deadline = start;
    queues.add("gone")->hasFinished = true;
    queues.waiting.advance(start);
    EXPECT_TRUE(expired->isGivenUp);
    EXPECT_EQ(queues.waiting.size(), 0U);
}

/// After a power loss the requests of two seconds were queued and made every later request late for four seconds.
TEST(WaitingRequests, backlogAfterAPowerLossDoesNotMakeLaterRequestsLate)
{
    Queues queues;
    for (const char *name : {"late-1", "late-2", "late-3"}) {
        queues.add(name)->lateSince = start - 1s;
    }
    queues.add("fresh-1");
    EXPECT_TRUE(queues.waiting.hasWaiting(drafts, 0, start));
    queues.capacity = 2;
    queues.waiting.advance(start);
    EXPECT_EQ(queues.sentNames, (std::vector<std::string>{"fresh-1", "late-1"}));
    EXPECT_FALSE(queues.waiting.hasWaiting(drafts, 0, start));
    queues.add("fresh-2");
    queues.capacity = 3;
    queues.waiting.advance(start);
    EXPECT_EQ(queues.sentNames, (std::vector<std::string>{"fresh-1", "late-1", "fresh-2", "late-2", "late-3"}));
}

/// A request that is given up finishes and calls advance() within advance(). An entry crashed from this after a power
/// loss.
TEST(WaitingRequests, requestThatFinishesDuringAdvanceMayCallAdvance)
{
    Queues queues;
    for (int number = 0; number < 3; ++number) {
        const auto request = queues.add("request");
        request->deadline = start;
        request->onGivenUp = [&queues] {
            queues.waiting.advance(start);
            queues.add("added");
        };
    }
    queues.waiting.advance(start);
    EXPECT_EQ(queues.waiting.size(), 3U);
    queues.capacity = 3;
    queues.waiting.advance(start);
    EXPECT_EQ(queues.sentNames.size(), 3U);
}

// Guards against a class that gets no place at all while more urgent ones have a queue.
TEST(WaitingRequests, lessUrgentRequestsGetTheirGuaranteedShare)
{
    Queues queues;
    queues.waiting.setGuaranteedServices({drafts});
    for (int number = 0; number < 40; ++number) {
        queues.add("urgent", 0);
    }
    for (int number = 0; number < 3; ++number) {
        queues.add("ordinary", 1);
        queues.add("background", 2);
    }
    for (int round = 0; round < 36; ++round) {
        queues.capacity = 1;
        queues.waiting.advance(start);
    }
    const auto &sent = queues.sentNames;
    EXPECT_EQ(std::count(sent.begin(), sent.end(), "ordinary"), 2);
    EXPECT_EQ(std::count(sent.begin(), sent.end(), "background"), 2);
    EXPECT_EQ(std::count(sent.begin(), sent.end(), "urgent"), 32);
}

} // namespace lycheelanding::forwarding

#include "lycheelanding/decisions/mapswitch/commandwindow.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace lycheelanding::decisions::mapswitch {

TEST(CommandWindow, commandsWaitInOrderUntilEarlierOnesAreRemoved)
{
    CommandWindow window(100);
    window.add(0, 60);
    window.add(1, 60);
    window.add(2, 40);
    EXPECT_EQ(window.takeNext(), 0U);
    EXPECT_EQ(window.takeNext(), std::nullopt);
    window.remove(0);
    EXPECT_EQ(window.takeNext(), 1U);
    EXPECT_EQ(window.takeNext(), 2U);
    EXPECT_EQ(window.unansweredBytes(), 100U);
    EXPECT_EQ(window.takeNext(), std::nullopt);
}

TEST(CommandWindow, waitingCommandCanBeWithdrawn)
{
    CommandWindow window(100);
    window.add(0, 60);
    window.add(1, 60);
    window.remove(0);
    EXPECT_EQ(window.takeNext(), 1U);
}

TEST(CommandWindow, commandLargerThanTheWindowIsSentAlone)
{
    CommandWindow window(100);
    window.add(0, 10);
    window.add(1, 500);
    window.add(2, 10);
    EXPECT_EQ(window.takeNext(), 0U);
    EXPECT_EQ(window.takeNext(), std::nullopt);
    window.remove(0);
    EXPECT_EQ(window.takeNext(), 1U);
    EXPECT_EQ(window.takeNext(), std::nullopt);
    window.remove(1);
    EXPECT_EQ(window.takeNext(), 2U);
}

TEST(CommandWindow, repeatedCommandWaitsBehindTheOthers)
{
    CommandWindow window(100);
    window.add(0, 100);
    window.add(1, 100);
    EXPECT_EQ(window.takeNext(), 0U);
    window.add(0, 100);
    EXPECT_EQ(window.unansweredBytes(), 0U);
    EXPECT_EQ(window.takeNext(), 1U);
}

RC_GTEST_PROP(CommandWindow, staysWithinItsSizeAndSendsEveryCommand, ())
{
    constexpr std::size_t maxBytes = 100;
    constexpr std::size_t ranks = 6;
    CommandWindow window(maxBytes);
    std::set<std::size_t> waiting;
    std::set<std::size_t> unanswered;
    const auto takeAll = [&] {
        while (const auto rank = window.takeNext()) {
            RC_ASSERT(waiting.erase(*rank) == 1);
            unanswered.insert(*rank);
        }
        RC_ASSERT(window.unansweredBytes() <= maxBytes || unanswered.size() == 1);
        RC_ASSERT(waiting.empty() || !unanswered.empty());
    };
    const int events = *rc::gen::inRange(1, 60);
    for (int event = 0; event < events; ++event) {
        const auto rank = *rc::gen::inRange<std::size_t>(0, ranks);
        waiting.erase(rank);
        unanswered.erase(rank);
        if (*rc::gen::arbitrary<bool>()) {
            window.add(rank, *rc::gen::inRange<std::size_t>(1, 2 * maxBytes));
            waiting.insert(rank);
        } else {
            window.remove(rank);
        }
        takeAll();
    }
    while (!unanswered.empty()) {
        window.remove(*unanswered.begin());
        unanswered.erase(unanswered.begin());
        takeAll();
    }
    RC_ASSERT(waiting.empty());
}

} // namespace lycheelanding::decisions::mapswitch

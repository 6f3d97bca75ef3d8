#include "lycheelanding/rankgroups/membersubscriptions.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace lycheelanding::rankgroups {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint start{1h};
const std::vector<std::string> sides{"10.1.0.1", "10.1.0.2", "10.1.0.3"};

/// Number of subscriptions to each side in ten seconds; the first side is a member, the second is in another group and
/// the third is silent.
std::map<std::string, int> subscriptionsInTenSeconds(MemberSubscriptions &subscriptions)
{
    std::map<std::string, int> sent;
    for (auto time = 0ms; time < 10s; time += 50ms) {
        subscriptions.statusReceived(sides[0], true, start + time);
        subscriptions.statusReceived(sides[1], false, start + time);
        for (const auto &ip : subscriptions.due(sides, start + time)) {
            ++sent[ip];
        }
    }
    return sent;
}

} // namespace

// A member that hears no leader for 0.8 s tries to lead itself.
TEST(MemberSubscriptionsTest, membersAndUnknownSidesAreSubscribedThreeTimesASecond)
{
    MemberSubscriptions subscriptions;
    const auto sent = subscriptionsInTenSeconds(subscriptions);
    EXPECT_GE(sent.at(sides[0]), 30);
    EXPECT_GE(sent.at(sides[2]), 30);
}

// A leader subscribed to all 192 sides of the service 3.3 times a second, and got 10 statuses a second from each of the
// 96 ranks of the other group: a quarter of its link.
TEST(MemberSubscriptionsTest, sidesOfOtherGroupsAreSubscribedOnceASecond)
{
    MemberSubscriptions subscriptions;
    EXPECT_LE(subscriptionsInTenSeconds(subscriptions).at(sides[1]), 11);
    EXPECT_TRUE(subscriptions.isInOtherGroup(sides[1], start + 10s));
    EXPECT_FALSE(subscriptions.isInOtherGroup(sides[0], start + 10s));
    EXPECT_FALSE(subscriptions.isInOtherGroup(sides[2], start + 10s));
}

TEST(MemberSubscriptionsTest, sideThatJoinsTheGroupIsSubscribedAtOnce)
{
    MemberSubscriptions subscriptions;
    subscriptionsInTenSeconds(subscriptions);
    subscriptions.statusReceived(sides[1], true, start + 10s);
    const auto due = subscriptions.due(sides, start + 10s);
    EXPECT_NE(std::find(due.begin(), due.end(), sides[1]), due.end());
    EXPECT_EQ(subscriptions.members(), (std::vector<std::string>{sides[0], sides[1]}));
}

TEST(MemberSubscriptionsTest, silentMemberIsUnresponsive)
{
    MemberSubscriptions subscriptions;
    subscriptionsInTenSeconds(subscriptions);
    EXPECT_TRUE(subscriptions.unresponsive(start + 10s).empty());
    EXPECT_TRUE(subscriptions.unresponsive(start + 11s).contains(sides[0]));
}

TEST(MemberSubscriptionsTest, sidesThatAreGoneAreForgotten)
{
    MemberSubscriptions subscriptions;
    subscriptionsInTenSeconds(subscriptions);
    subscriptions.due({sides[1]}, start + 11s);
    EXPECT_TRUE(subscriptions.members().empty());
}

} // namespace lycheelanding::rankgroups

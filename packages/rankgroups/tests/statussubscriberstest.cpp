#include "lycheelanding/rankgroups/statussubscribers.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace lycheelanding::rankgroups {

namespace {

using namespace std::chrono_literals;

asio::ip::udp::endpoint endpointOf(const char *ip)
{
    return {asio::ip::make_address(ip), 7340};
}

// The leader's address precedes those of the entries.
const auto leader = endpointOf("10.1.0.2");
const auto entry = endpointOf("10.1.0.40");
const auto otherEntry = endpointOf("10.2.0.40");
constexpr core::TimePoint start{1h};

RankStatus statusOf(std::uint64_t generation, std::uint64_t map)
{
    RankStatus result;
    result.report.state.generation = core::Generation(generation);
    result.report.state.map = core::MapVersion(map);
    result.heldExperts = {{1, 2}, {3, 4}};
    return result;
}

bool hasHeldExperts(const std::vector<AddressedStatus> &statuses)
{
    return std::any_of(statuses.begin(), statuses.end(),
                       [](const auto &item) { return !item.status.heldExperts.empty(); });
}

} // namespace

// Guards against statuses for entries that wait behind the counts on the side's link: an entry that has no news of a VM
// for half a second gives up its streams.
TEST(StatusSubscribersTest, entriesAreServedBeforeLeaders)
{
    StatusSubscribers subscribers;
    subscribers.subscribed(leader, SubscriberKind::Leader, start);
    subscribers.subscribed(entry, SubscriberKind::Entry, start);
    subscribers.subscribed(otherEntry, SubscriberKind::Entry, start);
    const auto due = subscribers.due(statusOf(1, 1), start);
    ASSERT_EQ(due.size(), 3U);
    EXPECT_EQ(due[0].receiver, entry);
    EXPECT_EQ(due[1].receiver, otherEntry);
    EXPECT_EQ(due[2].receiver, leader);
    EXPECT_EQ(due[2].status.entries, 2U);
}

// Guards against the held experts in every status, which take bandwidth of the leader's link although they change only
// with the map.
TEST(StatusSubscribersTest, leaderGetsHeldExpertsWhenTheyChange)
{
    StatusSubscribers subscribers;
    subscribers.subscribed(leader, SubscriberKind::Leader, start);
    EXPECT_TRUE(hasHeldExperts(subscribers.due(statusOf(1, 1), start)));
    EXPECT_FALSE(hasHeldExperts(subscribers.due(statusOf(1, 1), start + 50ms)));
    EXPECT_TRUE(hasHeldExperts(subscribers.due(statusOf(1, 2), start + 100ms)));
    EXPECT_FALSE(hasHeldExperts(subscribers.due(statusOf(1, 2), start + 150ms)));
    EXPECT_TRUE(hasHeldExperts(subscribers.due(statusOf(2, 2), start + 200ms)));
}

// The leader may have missed the datagram with the held experts, or may have started again.
TEST(StatusSubscribersTest, heldExpertsAreRepeatedAtALowRate)
{
    StatusSubscribers subscribers;
    int repeats = 0;
    for (auto time = 0ms; time < 10s; time += 50ms) {
        subscribers.subscribed(leader, SubscriberKind::Leader, start + time);
        repeats += hasHeldExperts(subscribers.due(statusOf(1, 1), start + time)) ? 1 : 0;
    }
    EXPECT_GE(repeats, 5);
    EXPECT_LE(repeats, 20);
}

TEST(StatusSubscribersTest, newLeaderGetsHeldExpertsAtOnce)
{
    StatusSubscribers subscribers;
    subscribers.subscribed(leader, SubscriberKind::Leader, start);
    subscribers.due(statusOf(1, 1), start);
    subscribers.subscribed(endpointOf("10.3.0.2"), SubscriberKind::Leader, start + 50ms);
    EXPECT_TRUE(hasHeldExperts(subscribers.due(statusOf(1, 1), start + 50ms)));
    // An entry that becomes a leader.
    subscribers.subscribed(entry, SubscriberKind::Entry, start + 100ms);
    subscribers.due(statusOf(1, 1), start + 100ms);
    subscribers.subscribed(entry, SubscriberKind::Leader, start + 150ms);
    EXPECT_TRUE(hasHeldExperts(subscribers.due(statusOf(1, 1), start + 150ms)));
}

TEST(StatusSubscribersTest, entriesGetAStatusEvery100MillisecondsWithoutHeldExperts)
{
    StatusSubscribers subscribers;
    subscribers.subscribed(entry, SubscriberKind::Entry, start);
    const auto status = statusOf(1, 1);
    int updates = 0;
    for (auto time = 0ms; time < 1s; time += 25ms) {
        for (const auto &item : subscribers.due(status, start + time)) {
            ++updates;
            EXPECT_TRUE(item.status.heldExperts.empty());
        }
    }
    EXPECT_EQ(updates, 10);
}

// Guards against leaders of other groups that count as entries: an entry estimates the requests that the other entries
// send from the number of entries.
TEST(StatusSubscribersTest, leaderOfAnotherGroupIsNoEntry)
{
    StatusSubscribers subscribers;
    subscribers.subscribed(entry, SubscriberKind::Entry, start);
    subscribers.subscribed(otherEntry, SubscriberKind::OtherLeader, start);
    EXPECT_FALSE(subscribers.hasLeader());
    const auto status = statusOf(1, 1);
    const auto due = subscribers.due(status, start);
    ASSERT_EQ(due.size(), 2U);
    for (const auto &item : due) {
        EXPECT_EQ(item.status.entries, 1U);
        EXPECT_TRUE(item.status.heldExperts.empty());
    }
}

// Entries that share a limit derive their shares from their positions, so no two may have the same one.
TEST(StatusSubscribersTest, eachEntryGetsItsOwnPosition)
{
    StatusSubscribers subscribers;
    subscribers.subscribed(endpointOf("10.1.0.50"), SubscriberKind::OtherLeader, start);
    subscribers.subscribed(otherEntry, SubscriberKind::Entry, start);
    subscribers.subscribed(entry, SubscriberKind::Entry, start);
    for (const auto &item : subscribers.due(statusOf(1, 1), start)) {
        EXPECT_EQ(item.status.entryIndex, item.receiver == otherEntry ? 1U : 0U);
    }
}

// Entries divide the limits of a service by their parts of the sum.
TEST(StatusSubscribersTest, entriesGetTheSumsOfTheirDemands)
{
    const core::ServiceId drafts("drafts");
    StatusSubscribers subscribers;
    subscribers.subscribed(entry, SubscriberKind::Entry, start, {{drafts, 4.0}});
    subscribers.subscribed(otherEntry, SubscriberKind::Entry, start, {{drafts, 8.0}});
    subscribers.subscribed(otherEntry, SubscriberKind::Entry, start, {{drafts, 9.0}});
    for (const auto &item : subscribers.due(statusOf(1, 1), start)) {
        EXPECT_EQ(item.status.demands, (std::vector<decisions::intake::TotalDemand>{{drafts, 13.0, 2}}));
    }
    subscribers.subscribed(entry, SubscriberKind::Entry, start + 2s);
    const auto due = subscribers.due(statusOf(1, 1), start + 4s);
    ASSERT_EQ(due.size(), 1U);
    EXPECT_TRUE(due[0].status.demands.empty());
}

// Statuses of 95 ranks at each read of their engines took half of the leader's link of 6 Mbit/s.
TEST(StatusSubscribersTest, leaderGetsFewUpdatesWhileOnlyTheStepAndTheLoadChange)
{
    StatusSubscribers subscribers;
    subscribers.subscribed(leader, SubscriberKind::Leader, start);
    auto status = statusOf(1, 1);
    std::size_t updates = 0;
    for (auto time = 0ms; time < 1s; time += 25ms) {
        status.report.state.step = status.report.state.step.next();
        ++status.report.running;
        updates += subscribers.due(status, start + time).size();
    }
    EXPECT_GE(updates, 4U);
    EXPECT_LE(updates, 7U);
}

// A switch waits for the slowest rank's report, and a datagram may be lost.
TEST(StatusSubscribersTest, leaderGetsAChangeAtOnceAndOnceMore)
{
    StatusSubscribers subscribers;
    subscribers.subscribed(leader, SubscriberKind::Leader, start);
    auto status = statusOf(1, 1);
    subscribers.due(status, start);
    subscribers.due(status, start + 25ms);
    EXPECT_TRUE(subscribers.due(status, start + 50ms).empty());
    status.report.state.prepared = core::MapVersion(2);
    EXPECT_EQ(subscribers.due(status, start + 75ms).size(), 1U);
    EXPECT_EQ(subscribers.due(status, start + 100ms).size(), 1U);
    EXPECT_TRUE(subscribers.due(status, start + 125ms).empty());
}

// The leaders of other groups subscribe to find their own ranks; each got ten updates a second from each other rank.
TEST(StatusSubscribersTest, leaderOfAnotherGroupGetsOneUpdateASecond)
{
    StatusSubscribers subscribers;
    subscribers.subscribed(leader, SubscriberKind::OtherLeader, start);
    std::size_t updates = 0;
    for (auto time = 0ms; time < 2900ms; time += 50ms) {
        updates += subscribers.due(statusOf(1, 1), start + time).size();
    }
    EXPECT_EQ(updates, 3U);
}

TEST(StatusSubscribersTest, subscriptionsExpire)
{
    StatusSubscribers subscribers;
    subscribers.subscribed(leader, SubscriberKind::Leader, start);
    EXPECT_TRUE(subscribers.hasLeader());
    EXPECT_EQ(subscribers.due(statusOf(1, 1), start + 2900ms).size(), 1U);
    EXPECT_TRUE(subscribers.due(statusOf(1, 1), start + 3s).empty());
    EXPECT_FALSE(subscribers.hasLeader());
}

} // namespace lycheelanding::rankgroups

#include "lycheelanding/rankgroups/countsschedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace lycheelanding::rankgroups {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint start{1h};
/// Share of the leader's link that all counts together may use.
constexpr double linkShare = 0.5;
constexpr double megabit = 1e6;

struct Group
{
    std::size_t ranks = 0;
    std::size_t messageBytes = 0;
    double linkBitsPerSecond = 0.0;
};

/// Times at which the ranks of a group other than the leader read their counts within `duration`, by rank. The leader
/// subscribes to all of them at the start.
std::vector<std::vector<core::TimePoint>> readTimes(const Group &group, core::Duration duration)
{
    std::vector<std::vector<core::TimePoint>> result;
    for (std::size_t rank = 1; rank < group.ranks; ++rank) {
        CountsSchedule schedule(group.linkBitsPerSecond, rank);
        schedule.leaderSubscribed(group.ranks, start);
        auto &times = result.emplace_back();
        for (auto now = start; now < start + duration; now += 1ms) {
            if (schedule.isDue(now)) {
                times.push_back(now);
                schedule.readStarted(now);
                schedule.sent(group.messageBytes, group.ranks);
            }
        }
    }
    return result;
}

/// Share of the leader's link that the counts use after the start.
double usedShare(const Group &group)
{
    constexpr auto duration = 20s;
    std::size_t messages = 0;
    for (const auto &times : readTimes(group, duration)) {
        messages += times.size();
    }
    constexpr double bitsPerByte = 8.0;
    return static_cast<double>(messages * group.messageBytes) * bitsPerByte
        / (group.linkBitsPerSecond * std::chrono::duration<double>(duration).count());
}

/// Largest number of messages in any 50 ms, by rank count minus one.
std::size_t mostMessagesIn50Milliseconds(const Group &group)
{
    std::vector<core::TimePoint> all;
    for (const auto &times : readTimes(group, 5s)) {
        all.insert(all.end(), times.begin(), times.end());
    }
    std::sort(all.begin(), all.end());
    std::size_t most = 0;
    for (auto first = all.begin(); first != all.end(); ++first) {
        const auto end = std::lower_bound(first, all.end(), *first + 50ms);
        most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
}

} // namespace

// Guards against counts that fill the link of the leader's VM, so that statuses and replies to commands are lost.
TEST(CountsScheduleTest, countsOfALargeGroupUseAtMostTheirShareOfTheLeadersLink)
{
    constexpr std::size_t messageBytes = 3300;
    EXPECT_LE(usedShare({32, messageBytes, 8 * megabit}), linkShare);
    EXPECT_LE(usedShare({64, messageBytes, 8 * megabit}), linkShare);
    EXPECT_LE(usedShare({64, messageBytes, 20 * megabit}), linkShare);
    EXPECT_LE(usedShare({8, messageBytes, 1 * megabit}), linkShare);
}

TEST(CountsScheduleTest, largeGroupUsesMostOfItsShare)
{
    EXPECT_GE(usedShare({32, 3300, 8 * megabit}), 0.7 * linkShare);
    EXPECT_GE(usedShare({64, 3300, 8 * megabit}), 0.7 * linkShare);
}

// Guards against a map that follows a shift of the demand a second late, since a window needs the counts of each rank.
TEST(CountsScheduleTest, groupOf32RanksReadsFourTimesASecond)
{
    for (const auto &times : readTimes({32, 3300, 8 * megabit}, 10s)) {
        EXPECT_GE(times.size(), 40U);
    }
}

TEST(CountsScheduleTest, smallGroupReadsEvery100Milliseconds)
{
    for (const auto &times : readTimes({8, 900, 20 * megabit}, 10s)) {
        EXPECT_GE(times.size(), 99U);
        for (std::size_t index = 1; index < times.size(); ++index) {
            EXPECT_EQ(times[index] - times[index - 1], 100ms);
        }
    }
}

TEST(CountsScheduleTest, unknownLinkRateIsNotLimited)
{
    for (const auto &times : readTimes({32, 3300, 0.0}, 1s)) {
        EXPECT_GE(times.size(), 9U);
    }
}

// Guards against ranks that all send at once after the leader's subscription, which fills the queue of its link.
TEST(CountsScheduleTest, ranksDoNotSendInPhase)
{
    EXPECT_LE(mostMessagesIn50Milliseconds({32, 3300, 8 * megabit}), 31U / 2);
    EXPECT_LE(mostMessagesIn50Milliseconds({64, 3300, 8 * megabit}), 63U / 2);
}

} // namespace lycheelanding::rankgroups

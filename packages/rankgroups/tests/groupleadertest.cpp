#include "lycheelanding/rankgroups/groupleader.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace lycheelanding::rankgroups {

namespace {

using namespace std::chrono_literals;
using decisions::mapswitch::CommandAnswer;
using decisions::mapswitch::FencingToken;

constexpr std::size_t ranks = 4;
constexpr std::size_t layers = 2;
constexpr std::size_t experts = 16;
constexpr FencingToken fencingToken(7);

forwarding::ModelShape shape()
{
    forwarding::ModelShape result;
    result.layers = layers;
    result.experts = experts;
    result.slotsPerRank = 6;
    result.spareSlots = 2;
    result.expertBytes = 1700000000;
    result.linkBitsPerSecond = 92e9;
    return result;
}

/// The ranks of a group whose requests choose only the experts of rank 0, and their leader.
class LedGroup
{
public:
    /// Sends a status of the rank that has its held experts, but no counts.
    void sendHeldExperts(std::size_t rank, core::MapVersion map)
    {
        auto status = statusOf(rank, map);
        status.heldExperts.assign(layers, heldExperts(rank));
        execute(m_leader.statusReceived(ipOf(rank), status, m_now));
    }

    /// Sends a status of each rank with its counts.
    void sendCounts(core::MapVersion map)
    {
        CountsReport report{core::Generation(3), {}, 1, 0, ChoiceCounts(layers * experts, 1)};
        for (std::size_t expert = 0; expert < experts / ranks; ++expert) {
            report.counts[expert] += 1000;
            report.counts[experts + expert] += 1000;
        }
        for (std::size_t rank = 0; rank < ranks; ++rank) {
            execute(m_leader.countsReported(ipOf(rank), report, m_now));
            execute(m_leader.statusReceived(ipOf(rank), statusOf(rank, map), m_now));
        }
        execute(m_leader.tick(m_now));
        m_now += 100ms;
        ++m_step;
    }

    /// Sends a status of another group from the VM of the rank.
    void leaveGroup(std::size_t rank)
    {
        auto status = statusOf(rank, core::MapVersion(5));
        status.report.group = core::GroupId("other");
        execute(m_leader.statusReceived(ipOf(rank), status, m_now));
    }

    /// Sends a status from the VM of `rank` that gives another rank.
    void sendOtherRank(std::size_t rank, std::uint64_t other)
    {
        auto status = statusOf(rank, core::MapVersion(5));
        status.report.rank = core::RankIndex(other);
        execute(m_leader.statusReceived(ipOf(rank), status, m_now));
    }

    void tick()
    {
        m_now += 100ms;
        execute(m_leader.tick(m_now));
    }

    int begunSwitches = 0;
    /// Whether engines answer the commands.
    bool hasAnswers = true;

private:
    static std::string ipOf(std::size_t rank) { return "10.1.0." + std::to_string(rank + 1); }

    static std::vector<std::uint32_t> heldExperts(std::size_t rank)
    {
        const auto first = static_cast<std::uint32_t>(rank * experts / ranks);
        return {first, first + 1, first + 2, first + 3};
    }

    RankStatus statusOf(std::size_t rank, core::MapVersion map) const
    {
        RankStatus status;
        status.report.group = core::GroupId("g");
        status.report.rank = core::RankIndex(rank);
        status.report.groupSize = ranks;
        status.report.isOpen = true;
        status.report.state.generation = core::Generation(3);
        status.report.state.step = core::StepNumber(m_step);
        status.report.state.map = map;
        status.report.installedFencingToken = fencingToken;
        return status;
    }

    void execute(const LeaderActions &actions)
    {
        for (const auto &action : actions) {
            if (const auto *command = std::get_if<CommandEngine>(&action); command != nullptr && hasAnswers) {
                execute(m_leader.answered(command->ip, command->number, CommandAnswer::Done, m_now));
            } else if (const auto *event = std::get_if<MapSwitchEvent>(&action)) {
                begunSwitches += event->event == "mapSwitchBegun" ? 1 : 0;
            }
        }
    }

    core::TimePoint m_now{1h};
    std::uint64_t m_step = 10;
    GroupLeader m_leader{core::GroupId("g"), fencingToken, shape(), {}};
};

} // namespace

TEST(GroupLeaderTest, plansFromHeldExpertsThatItGotOnce)
{
    LedGroup group;
    for (std::size_t rank = 0; rank < ranks; ++rank) {
        group.sendHeldExperts(rank, core::MapVersion(5));
    }
    for (int round = 0; round < 20; ++round) {
        group.sendCounts(core::MapVersion(5));
    }
    EXPECT_EQ(group.begunSwitches, 1);
}

// Guards against a plan from experts that a rank held in an earlier map, when the datagram with its new ones was lost.
TEST(GroupLeaderTest, heldExpertsOfAnEarlierMapAreNotUsed)
{
    LedGroup group;
    group.sendHeldExperts(0, core::MapVersion(4));
    for (std::size_t rank = 1; rank < ranks; ++rank) {
        group.sendHeldExperts(rank, core::MapVersion(5));
    }
    for (int round = 0; round < 20; ++round) {
        group.sendCounts(core::MapVersion(5));
    }
    EXPECT_EQ(group.begunSwitches, 0);
    group.sendHeldExperts(0, core::MapVersion(5));
    for (int round = 0; round < 20; ++round) {
        group.sendCounts(core::MapVersion(5));
    }
    EXPECT_EQ(group.begunSwitches, 1);
}

// The leader still sent commands to the rank, found no member for it, and its process ended.
TEST(GroupLeaderTest, rankThatLeavesTheGroupInMidSwitchDoesNotEndTheLeader)
{
    LedGroup group;
    for (std::size_t rank = 0; rank < ranks; ++rank) {
        group.sendHeldExperts(rank, core::MapVersion(5));
    }
    while (group.begunSwitches == 0) {
        group.hasAnswers = false;
        group.sendCounts(core::MapVersion(5));
    }
    group.leaveGroup(2);
    for (int round = 0; round < 200; ++round) {
        EXPECT_NO_THROW(group.tick());
    }
    // It is back, and the group switches as before.
    group.hasAnswers = true;
    for (std::size_t rank = 0; rank < ranks; ++rank) {
        group.sendHeldExperts(rank, core::MapVersion(5));
    }
    for (int round = 0; round < 20; ++round) {
        group.sendCounts(core::MapVersion(5));
    }
    EXPECT_EQ(group.begunSwitches, 2);
}

// A report with a rank outside the group ended the process of the leader, or kept the group from being led.
TEST(GroupLeaderTest, rankOutsideTheGroupIsIgnored)
{
    for (const std::uint64_t other : {std::uint64_t(ranks), std::uint64_t(1) << 40U, ~std::uint64_t(0)}) {
        LedGroup group;
        for (std::size_t rank = 0; rank + 1 < ranks; ++rank) {
            group.sendHeldExperts(rank, core::MapVersion(5));
        }
        EXPECT_NO_THROW(group.sendOtherRank(ranks - 1, other));
        for (int round = 0; round < 20; ++round) {
            EXPECT_NO_THROW(group.tick());
        }
        group.sendHeldExperts(ranks - 1, core::MapVersion(5));
        for (int round = 0; round < 20; ++round) {
            group.sendCounts(core::MapVersion(5));
        }
        EXPECT_EQ(group.begunSwitches, 1) << other;
    }
}

// A VM whose engine gets another rank was kept as a member under both.
TEST(GroupLeaderTest, rankThatChangesIsNotAMemberTwice)
{
    LedGroup group;
    group.sendOtherRank(0, 1);
    group.sendOtherRank(1, 0);
    for (std::size_t rank = 0; rank < ranks; ++rank) {
        group.sendHeldExperts(rank, core::MapVersion(5));
    }
    for (int round = 0; round < 20; ++round) {
        group.sendCounts(core::MapVersion(5));
    }
    EXPECT_EQ(group.begunSwitches, 1);
}

} // namespace lycheelanding::rankgroups

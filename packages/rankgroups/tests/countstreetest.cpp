#include "lycheelanding/rankgroups/countstree.h"

#include "lycheelanding/core/random.h"
#include "lycheelanding/rankgroups/countsmember.h"
#include "lycheelanding/rankgroups/countsquantizer.h"
#include "lycheelanding/rankgroups/rankdatagrams.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <numeric>
#include <set>
#include <string>
#include <vector>

namespace lycheelanding::rankgroups {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint start{1h};
/// Share of a link that the counts of a whole group may use, at the leader and at every other member.
constexpr double linkShare = 0.5;
constexpr double megabit = 1e6;
constexpr double bitsPerByte = 8.0;
constexpr core::Generation generation(3);
/// Choices of a rank in a second.
constexpr std::uint64_t choicesPerCell = 1000;
constexpr auto stepInterval = 120ms;
constexpr auto stateReadInterval = 50ms;

struct Group
{
    std::size_t ranks = 0;
    std::size_t cells = 0;
    double linkBitsPerSecond = 0.0;
};

/// The members of a group other than its leader, with their messages in virtual time.
class CountsSimulation
{
public:
    explicit CountsSimulation(const Group &group) : m_group(group), m_tree(group.cells, group.linkBitsPerSecond)
    {
        for (std::size_t rank = 1; rank < group.ranks; ++rank) {
            m_ips.push_back("10.1.0." + std::to_string(100 + rank));
            m_members.emplace(m_ips.back(), std::make_unique<CountsMember>(m_ips.back()));
            m_totals.emplace(m_ips.back(), ChoiceCounts(group.cells, 0));
        }
        subscribe();
    }

    /// The side at `ip` neither sends nor answers any more.
    void stop(const std::string &ip)
    {
        m_stopped.insert(ip);
        subscribe();
    }

    void run(core::Duration duration)
    {
        for (const auto end = m_now + duration; m_now < end; m_now += 1ms) {
            if ((m_now - start) % stepInterval == 0ms) {
                m_step = m_step.next();
            }
            for (std::size_t index = 0; index < m_ips.size(); ++index) {
                // Each side reads its engine's state at its own times.
                const bool isStateRead = (m_now - start + index * 7ms) % stateReadInterval == 0ms;
                const auto &ip = m_ips[index];
                if (isStateRead && !m_stopped.contains(ip) && m_members.at(ip)->isReadDue(m_step, m_now)) {
                    read(ip);
                }
            }
        }
    }

    /// Largest share of a link that messages to one side used, the leader's first.
    double leaderShare() const { return shareOf(m_leaderBytes); }
    double largestMemberShare() const
    {
        double largest = 0.0;
        for (const auto &[ip, bytes] : m_bytesTo) {
            largest = std::max(largest, shareOf(bytes));
        }
        return largest;
    }

    CountsTree &tree() { return m_tree; }
    const std::vector<std::string> &ips() const { return m_ips; }

    std::size_t reportsAtLeader = 0;
    /// Number of reads of each member's counts.
    std::map<std::string, std::size_t> reads;
    std::uint64_t choicesAtLeader = 0;
    std::uint64_t choicesMade = 0;

    /// Most bytes that any one receiver gets within 50 ms.
    std::size_t largestBurst() const
    {
        std::size_t largest = 0;
        for (auto first = m_messages.begin(); first != m_messages.end(); ++first) {
            std::size_t bytes = 0;
            for (auto each = first; each != m_messages.end() && each->sentAt < first->sentAt + 50ms; ++each) {
                bytes += each->receiver == first->receiver ? each->bytes : 0;
            }
            largest = std::max(largest, bytes);
        }
        return largest;
    }

private:
    struct Message
    {
        std::string receiver;
        core::TimePoint sentAt;
        std::size_t bytes = 0;
    };

    double shareOf(std::size_t bytes) const
    {
        return static_cast<double>(bytes) * bitsPerByte
            / (m_group.linkBitsPerSecond * std::chrono::duration<double>(m_now - start).count());
    }

    void subscribe()
    {
        m_tree.update(m_ips, m_stopped);
        for (const auto &[ip, member] : m_members) {
            member->routed(m_tree.routeOf(ip));
        }
    }

    void read(const std::string &ip)
    {
        auto &member = *m_members.at(ip);
        member.readStarted(m_step, m_now);
        ++reads[ip];
        auto &totals = m_totals.at(ip);
        auto &lastRead = m_lastRead.try_emplace(ip, start).first->second;
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(m_now - lastRead).count();
        lastRead = m_now;
        for (auto &count : totals) {
            const auto choices
                = m_random.nextBelow(2 * choicesPerCell * static_cast<std::uint64_t>(milliseconds) / 1000 + 1);
            count += static_cast<std::uint32_t>(choices);
            choicesMade += choices;
        }
        send(ip, member.countsRead(generation, totals, m_now));
    }

    void send(const std::string &from, const std::optional<AddressedCounts> &counts)
    {
        if (!counts) {
            return;
        }
        const auto bytes = encodeDatagram(counts->report).size();
        if (counts->collector.empty()) {
            m_leaderBytes += bytes;
            m_messages.push_back({std::string(), m_now, bytes});
            ++reportsAtLeader;
            const auto &units = counts->report.counts;
            choicesAtLeader += std::accumulate(units.begin(), units.end(), std::uint64_t{0})
                << counts->report.scaleBits;
            return;
        }
        m_bytesTo[counts->collector] += bytes;
        m_messages.push_back({counts->collector, m_now, bytes});
        if (!m_stopped.contains(counts->collector)) {
            send(counts->collector, m_members.at(counts->collector)->reportReceived(from, counts->report, m_now));
        }
    }

    const Group m_group;
    core::RandomSequence m_random{23};
    CountsTree m_tree;
    core::TimePoint m_now = start;
    core::StepNumber m_step;
    std::vector<Message> m_messages;
    std::vector<std::string> m_ips;
    std::map<std::string, std::unique_ptr<CountsMember>> m_members;
    std::map<std::string, ChoiceCounts> m_totals;
    std::map<std::string, core::TimePoint> m_lastRead;
    std::set<std::string> m_stopped;
    std::map<std::string, std::size_t> m_bytesTo;
    std::size_t m_leaderBytes = 0;
};

constexpr Group smallGroup{8, 6UL * 64, 20 * megabit};
constexpr Group grownGroup{32, 12UL * 128, 8 * megabit};
constexpr Group largeGroup{96, 16UL * 192, 6 * megabit};
constexpr Group doubledGroup{192, 16UL * 192, 6 * megabit};
void expectSharesKept(const Group &group)
{
    CountsSimulation simulation(group);
    simulation.run(10s);
    EXPECT_LE(simulation.leaderShare(), linkShare);
    EXPECT_LE(simulation.largestMemberShare(), linkShare);
}

} // namespace

// Guards against counts that fill the link of the leader's VM, so that statuses and replies to commands are lost.
TEST(CountsTreeTest, countsUseAtMostTheirShareOfAnyLink)
{
    expectSharesKept(smallGroup);
    expectSharesKept(grownGroup);
    expectSharesKept(largeGroup);
    expectSharesKept(doubledGroup);
    expectSharesKept({64, 12UL * 128, 8 * megabit});
    expectSharesKept({8, 12UL * 128, 1 * megabit});
}

// Guards against a map that follows a shift of the demand a second late: the counts of 95 ranks sent straight to their
// leader took 1.6 s on its link.
TEST(CountsTreeTest, intervalStaysShortInLargeGroups)
{
    EXPECT_LE(CountsSimulation(smallGroup).tree().routeOf({}).interval, 100ms);
    EXPECT_LE(CountsSimulation(grownGroup).tree().routeOf({}).interval, 150ms);
    EXPECT_LE(CountsSimulation(largeGroup).tree().routeOf({}).interval, 200ms);
    EXPECT_LE(CountsSimulation(doubledGroup).tree().routeOf({}).interval, 250ms);
}

// Guards against a shift of the demand that is seen late, since a window needs the counts of each rank: they were read
// four times a second at least in a group of 32 ranks.
TEST(CountsTreeTest, eachRankReadsItsCountsNearlyEveryStep)
{
    constexpr std::size_t minReads = 75;
    for (const auto &group : {smallGroup, grownGroup, largeGroup}) {
        CountsSimulation simulation(group);
        simulation.run(10s);
        EXPECT_EQ(simulation.reads.size(), group.ranks - 1);
        for (const auto &[ip, reads] : simulation.reads) {
            EXPECT_GE(reads, minReads) << ip;
        }
    }
}

TEST(CountsTreeTest, unknownLinkRateIsNotLimited)
{
    EXPECT_LE(CountsSimulation({32, 12UL * 128, 0.0}).tree().routeOf({}).interval, 100ms);
}

TEST(CountsTreeTest, allChoicesReachTheLeader)
{
    CountsSimulation simulation(largeGroup);
    simulation.run(10s);
    // The first read of each rank only sets the base; the last sums are still being collected.
    EXPECT_GE(static_cast<double>(simulation.choicesAtLeader), 0.95 * static_cast<double>(simulation.choicesMade));
    EXPECT_LE(simulation.choicesAtLeader, simulation.choicesMade);
}

TEST(CountsTreeTest, leaderGetsFewReportsAnInterval)
{
    CountsSimulation simulation(largeGroup);
    simulation.run(10s);
    const auto interval = simulation.tree().routeOf({}).interval;
    const auto intervals = static_cast<double>(core::Duration(10s) / interval);
    EXPECT_LE(static_cast<double>(simulation.reportsAtLeader), 2.0 * 10.0 * intervals);
}

// A collector that does not respond any more must not take the counts of its members with it.
TEST(CountsTreeTest, membersOfAStoppedCollectorSendElsewhere)
{
    CountsSimulation simulation(largeGroup);
    const auto collector = simulation.tree().routeOf(simulation.ips().front()).collector;
    ASSERT_FALSE(collector.empty());
    simulation.run(1s);
    simulation.stop(collector);
    for (const auto &ip : simulation.ips()) {
        EXPECT_NE(simulation.tree().routeOf(ip).collector, collector);
    }
    const auto madeBefore = simulation.choicesMade;
    const auto seenBefore = simulation.choicesAtLeader;
    simulation.run(5s);
    EXPECT_GE(static_cast<double>(simulation.choicesAtLeader - seenBefore),
              0.9 * static_cast<double>(simulation.choicesMade - madeBefore));
}

// Each change of a collector loses the reports that are under way.
TEST(CountsTreeTest, collectorsStayWhileTheyRespond)
{
    CountsTree tree(16UL * 192, 6 * megabit);
    std::vector<std::string> members;
    for (int number = 100; number < 195; ++number) {
        members.push_back("10.1.0." + std::to_string(number));
    }
    tree.update(members, {});
    const auto first = tree.routeOf(members.front()).collector;
    tree.update(members, {first});
    const auto second = tree.routeOf(members.front()).collector;
    EXPECT_NE(second, first);
    tree.update(members, {});
    EXPECT_EQ(tree.routeOf(members.front()).collector, second);
}

TEST(CountsTreeTest, smallGroupsSendStraightToTheLeader)
{
    CountsSimulation simulation(smallGroup);
    for (const auto &ip : simulation.ips()) {
        EXPECT_TRUE(simulation.tree().routeOf(ip).collector.empty());
    }
}

// Guards against ranks that all send at once, which fills the queue of a link: what a receiver gets in 50 ms has to
// pass its link in that time.
TEST(CountsTreeTest, reportsOfAStepDoNotFillALink)
{
    for (const auto &group : {smallGroup, grownGroup, largeGroup, doubledGroup}) {
        CountsSimulation simulation(group);
        simulation.run(3s);
        constexpr double seconds = 0.05;
        EXPECT_LE(static_cast<double>(simulation.largestBurst()) * bitsPerByte, group.linkBitsPerSecond * seconds);
    }
}

// Counts of an interval that begins within a step mix the demand before a shift with the demand after it.
TEST(CountsScheduleTest, countsAreReadOnceAStep)
{
    CountsSchedule schedule;
    schedule.setInterval(100ms);
    schedule.readStarted(core::StepNumber(7), start);
    EXPECT_FALSE(schedule.isDue(core::StepNumber(7), start + 200ms));
    EXPECT_TRUE(schedule.isDue(core::StepNumber(8), start + 200ms));
    EXPECT_FALSE(schedule.isDue(core::StepNumber(8), start + 50ms));
    // An idle group makes no steps.
    EXPECT_TRUE(schedule.isDue(core::StepNumber(7), start + 600ms));
}

// A rank whose engine starts again begins its counts anew; they must not count as choices.
TEST(ChoiceIncrementsTest, totalsOfARestartedEngineAreNoChoices)
{
    ChoiceIncrements increments;
    EXPECT_TRUE(increments.since({5, 7}).empty());
    EXPECT_EQ(increments.since({6, 9}), (ChoiceCounts{1, 2}));
    EXPECT_TRUE(increments.since({0, 10}).empty());
    EXPECT_EQ(increments.since({2, 11}), (ChoiceCounts{2, 1}));
}

// A window that mixes choices before a shift with choices after it hides the shift for one window more.
TEST(CountsCollectorTest, laterStepEndsASumThatLacksASource)
{
    CountsCollector collector({3, 0ms, 1s, 2s});
    const auto report = [](std::uint64_t step, std::uint32_t first) {
        return CountsReport{core::Generation(1), core::StepNumber(step), 1, 0, {first, 1}};
    };
    collector.add("a", report(4, 5), start);
    collector.add("b", report(4, 5), start);
    EXPECT_FALSE(collector.takeIfEnded(start));
    collector.add("a", report(5, 90), start + 80ms);
    const auto sum = collector.takeIfEnded(start + 80ms);
    ASSERT_TRUE(sum);
    EXPECT_EQ(sum->choices, (std::vector<std::uint64_t>{10, 2}));
    EXPECT_EQ(sum->step, core::StepNumber(4));
    EXPECT_FALSE(collector.takeIfEnded(start + 80ms));
}

// Cold experts would seem to be idle if a rounding always left out their choices.
TEST(CountsQuantizerTest, noExpertLosesChoicesByRounding)
{
    CountsQuantizer quantizer;
    const std::vector<std::uint64_t> choices{900, 100, 3, 40};
    std::vector<std::uint64_t> seen(choices.size());
    constexpr std::uint64_t rounds = 1000;
    for (std::uint64_t round = 0; round < rounds; ++round) {
        const auto report = quantizer.quantize({generation, {}, 1, choices});
        for (std::size_t cell = 0; cell < choices.size(); ++cell) {
            EXPECT_LE(report.counts[cell], 28U);
            seen[cell] += std::uint64_t{report.counts[cell]} << report.scaleBits;
        }
    }
    for (std::size_t cell = 0; cell < choices.size(); ++cell) {
        EXPECT_NEAR(static_cast<double>(seen[cell]), static_cast<double>(rounds * choices[cell]), 512.0);
    }
}

// Sums of two formations of a group would mix the counts of different engines.
TEST(CountsCollectorTest, reportsOfAnotherGenerationStartTheSumAgain)
{
    CountsCollector collector({2, 0ms, 1s, 2s});
    collector.add("a", {core::Generation(1), {}, 1, 0, {1, 1}}, start);
    collector.add("b", {core::Generation(2), {}, 1, 0, {10, 0}}, start);
    EXPECT_FALSE(collector.takeIfEnded(start));
    collector.add("a", {core::Generation(2), {}, 1, 0, {0, 10}}, start);
    const auto sum = collector.takeIfEnded(start);
    ASSERT_TRUE(sum);
    EXPECT_EQ(sum->choices, (std::vector<std::uint64_t>{10, 10}));
    EXPECT_EQ(sum->ranks, 2U);
    EXPECT_EQ(sum->generation, core::Generation(2));
}

} // namespace lycheelanding::rankgroups

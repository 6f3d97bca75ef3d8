#include "lycheelanding/rankgroups/rankdatagrams.h"

#include "lycheelanding/core/random.h"

#include <gtest/gtest.h>

#include <sys/resource.h>

namespace lycheelanding::rankgroups {

namespace {

constexpr std::size_t layers = 12;
constexpr std::size_t experts = 128;

/// Status of a rank in a group of 32.
RankStatus statusWithHeldExperts()
{
    RankStatus status;
    status.report.group = core::GroupId("drafts-1");
    status.report.rank = core::RankIndex(31);
    status.report.groupSize = 32;
    status.entries = 7;
    status.entryIndex = 3;
    status.demands = {{core::ServiceId("drafts"), 71.5, 6}, {core::ServiceId("orders"), 0.0, 1}};
    for (std::size_t layer = 0; layer < layers; ++layer) {
        status.heldExperts.push_back({1, 17, 64, 100, 127});
    }
    return status;
}

/// What the requests of a rank choose in an interval: most experts a few times, and each tenth many times.
CountsReport countsOfARank()
{
    core::RandomSequence random(11);
    CountsReport report{core::Generation(4), core::StepNumber(9), 1, 0, {}};
    for (std::size_t cell = 0; cell < layers * experts; ++cell) {
        const std::uint64_t bound = cell % 10 == 0 ? 9000 : 15;
        report.counts.push_back(static_cast<std::uint32_t>(random.nextBelow(bound)));
    }
    return report;
}

std::size_t encodedSize(const Datagram &datagram)
{
    return encodeDatagram(datagram).size();
}

} // namespace

TEST(RankDatagramsTest, statusIsTheSameAfterDecoding)
{
    const auto status = statusWithHeldExperts();
    const auto decoded = decodeDatagram(encodeDatagram(status));
    ASSERT_TRUE(decoded && std::holds_alternative<RankStatus>(*decoded));
    const auto &result = std::get<RankStatus>(*decoded);
    EXPECT_EQ(result.report.group, status.report.group);
    EXPECT_EQ(result.report.rank, status.report.rank);
    EXPECT_EQ(result.entries, status.entries);
    EXPECT_EQ(result.entryIndex, status.entryIndex);
    EXPECT_EQ(result.demands, status.demands);
    EXPECT_EQ(result.heldExperts, status.heldExperts);
}

TEST(RankDatagramsTest, subscriptionIsTheSameAfterDecoding)
{
    Subscription subscription;
    subscription.demands = {{core::ServiceId("drafts"), 12.25}, {core::ServiceId("orders"), 0.5}};
    const auto decoded = decodeDatagram(encodeDatagram(subscription));
    ASSERT_TRUE(decoded && std::holds_alternative<Subscription>(*decoded));
    EXPECT_EQ(std::get<Subscription>(*decoded).demands, subscription.demands);
}

TEST(RankDatagramsTest, limitNoticeIsTheSameAfterDecoding)
{
    for (const auto &limit : {std::optional(2.5), std::optional<double>()}) {
        const auto decoded = decodeDatagram(encodeDatagram(LimitNotice{"backend-1", 1791239588007, limit, 42}));
        ASSERT_TRUE(decoded && std::holds_alternative<LimitNotice>(*decoded));
        const auto &result = std::get<LimitNotice>(*decoded);
        EXPECT_EQ(result.backend, "backend-1");
        EXPECT_EQ(result.startedAtMs, 1791239588007U);
        EXPECT_EQ(result.perSecond, limit);
        EXPECT_EQ(result.ageMs, 42U);
    }
}

TEST(RankDatagramsTest, countsAreTheSameAfterDecoding)
{
    const auto report = countsOfARank();
    const auto decoded = decodeDatagram(encodeDatagram(report));
    ASSERT_TRUE(decoded && std::holds_alternative<CountsReport>(*decoded));
    const auto &result = std::get<CountsReport>(*decoded);
    EXPECT_EQ(result.generation, report.generation);
    EXPECT_EQ(result.step, report.step);
    EXPECT_EQ(result.ranks, report.ranks);
    EXPECT_EQ(result.counts, report.counts);
}

// Guards against held experts as numbers of four bytes, which overload the leader's link in a large group.
TEST(RankDatagramsTest, heldExpertsTakeOneByte)
{
    const auto status = statusWithHeldExperts();
    auto withoutLists = status;
    withoutLists.heldExperts.clear();
    // One byte for each of five experts and for their number, by layer.
    EXPECT_LE(encodedSize(status) - encodedSize(withoutLists), layers * 6 + 4);
}

// Totals since the start of a rank took two bytes and more each, which overloaded the leader's link in a large group.
TEST(RankDatagramsTest, countsTakeLessThanAByte)
{
    EXPECT_LE(encodedSize(countsOfARank()), layers * experts + 30);
}

// A foreign datagram of some bytes made a side allocate what a text in it claimed to be long: it was ended for its
// memory.
TEST(RankDatagramsTest, claimedLengthOfATextIsNotAllocated)
{
    constexpr std::uint32_t claimed = 1U << 28U;
    constexpr long maxGrowthKilobytes = 64L * 1024;
    for (const auto &bytes :
         {encodeDatagram(Subscription{"drafts-1", {}, 0}), encodeDatagram(statusWithHeldExperts())}) {
        const auto textAt = bytes.find("drafts-1");
        ASSERT_NE(textAt, std::string::npos);
        // The length stands in front of the text, its lowest byte first.
        for (std::size_t width : {sizeof(std::uint32_t), sizeof(std::uint64_t)}) {
            auto foreign = bytes;
            for (std::size_t index = 0; index < width; ++index) {
                foreign[textAt - width + index] = static_cast<char>((std::uint64_t{claimed} >> (8U * index)) & 0xffU);
            }
            rusage before{};
            getrusage(RUSAGE_SELF, &before);
            EXPECT_FALSE(decodeDatagram(foreign));
            rusage after{};
            getrusage(RUSAGE_SELF, &after);
            EXPECT_LE(after.ru_maxrss - before.ru_maxrss, maxGrowthKilobytes);
        }
    }
}

// The side sends to the address, and ended itself if it was none.
TEST(RankDatagramsTest, collectorIsAnAddressOrEmpty)
{
    EXPECT_TRUE(decodeDatagram(encodeDatagram(Subscription{"drafts-1", "", 100})));
    EXPECT_TRUE(decodeDatagram(encodeDatagram(Subscription{"drafts-1", "10.1.0.4", 100})));
    for (const char *text : {"x", "10.1.0", "10.1.0.4:80", "10.1.0.400"}) {
        EXPECT_FALSE(decodeDatagram(encodeDatagram(Subscription{"drafts-1", text, 100}))) << text;
    }
}

TEST(RankDatagramsTest, cutDatagramIsInvalid)
{
    for (const auto &bytes : {encodeDatagram(statusWithHeldExperts()), encodeDatagram(countsOfARank())}) {
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            EXPECT_FALSE(decodeDatagram(std::string_view(bytes).substr(0, size)));
        }
    }
}

} // namespace lycheelanding::rankgroups

#include "lycheelanding/rankgroups/rankdatagrams.h"

#include "lycheelanding/core/random.h"

#include <gtest/gtest.h>

namespace lycheelanding::rankgroups {

namespace {

constexpr std::size_t layers = 12;
constexpr std::size_t experts = 128;

/// Status of a rank in a group of 32 whose requests have chosen each expert up to some thousand times.
RankStatus statusWithCounts()
{
    core::RandomSequence random(11);
    RankStatus status;
    status.report.group = core::GroupId("drafts-1");
    status.report.rank = core::RankIndex(31);
    status.report.groupSize = 32;
    status.entries = 7;
    for (std::size_t cell = 0; cell < layers * experts; ++cell) {
        status.counts.push_back(static_cast<std::uint32_t>(random.nextBelow(9000)));
    }
    for (std::size_t layer = 0; layer < layers; ++layer) {
        status.heldExperts.push_back({1, 17, 64, 100, 127});
    }
    return status;
}

std::size_t encodedSize(const RankStatus &status)
{
    return encodeDatagram(status).size();
}

} // namespace

TEST(RankDatagramsTest, statusIsTheSameAfterDecoding)
{
    const auto status = statusWithCounts();
    const auto decoded = decodeDatagram(encodeDatagram(status));
    ASSERT_TRUE(decoded && std::holds_alternative<RankStatus>(*decoded));
    const auto &result = std::get<RankStatus>(*decoded);
    EXPECT_EQ(result.report.group, status.report.group);
    EXPECT_EQ(result.report.rank, status.report.rank);
    EXPECT_EQ(result.entries, status.entries);
    EXPECT_EQ(result.counts, status.counts);
    EXPECT_EQ(result.heldExperts, status.heldExperts);
}

// Guards against counts and held experts as numbers of four bytes, which overload the leader's link in a large group.
TEST(RankDatagramsTest, countsTakeTwoBytesAndHeldExpertsOne)
{
    auto status = statusWithCounts();
    auto withoutLists = status;
    withoutLists.counts.clear();
    withoutLists.heldExperts.clear();
    const std::size_t base = encodedSize(withoutLists);
    auto withoutCounts = status;
    withoutCounts.counts.clear();
    // One byte for each of five experts and for their number, by layer.
    EXPECT_LE(encodedSize(withoutCounts) - base, layers * 6 + 4);
    EXPECT_LE(encodedSize(status) - encodedSize(withoutCounts), layers * experts * 2 + 4);
}

TEST(RankDatagramsTest, cutDatagramIsInvalid)
{
    const auto bytes = encodeDatagram(statusWithCounts());
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        EXPECT_FALSE(decodeDatagram(std::string_view(bytes).substr(0, size)));
    }
}

} // namespace lycheelanding::rankgroups

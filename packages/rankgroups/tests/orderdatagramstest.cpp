#include "lycheelanding/rankgroups/rankdatagrams.h"

#include "lycheelanding/rankgroups/groupswitch.h"

#include <gtest/gtest.h>

namespace lycheelanding::rankgroups {

namespace {

using namespace decisions::mapswitch;

CommandOrder prepareOf(const decisions::experts::MapShape &shape)
{
    const EngineCommand command{CommandKind::Prepare, core::Generation(3), core::MapVersion(9), {}};
    return {17,
            {command, FencingToken(4),
             std::make_shared<const ExpertLists>(
                 expertsByLayerAndRank(decisions::experts::roundRobinMap(shape, core::MapVersion(9))))}};
}

} // namespace

TEST(OrderDatagrams, orderKeepsItsFields)
{
    const auto sent = prepareOf({8, 300, 3, 40});
    const auto received = decodeDatagram(encodeDatagram(sent));
    ASSERT_TRUE(received && std::holds_alternative<CommandOrder>(*received));
    const auto &order = std::get<CommandOrder>(*received);
    EXPECT_EQ(order.number, sent.number);
    EXPECT_EQ(order.command.command.map, sent.command.command.map);
    EXPECT_EQ(order.command.fencingToken, sent.command.fencingToken);
    ASSERT_NE(order.command.experts, nullptr);
    EXPECT_EQ(*order.command.experts, *sent.command.experts);
}

// A prepare for a group of 32 ranks took 11 KB, which kept links of 8 Mbit/s busy for 11 ms per rank.
TEST(OrderDatagrams, mapOfALargeGroupIsSmall)
{
    constexpr std::size_t maxBytes = 2500;
    EXPECT_LE(encodeDatagram(prepareOf({32, 128, 12, 5})).size(), maxBytes);
}

// The map of 64 ranks and 60 layers did not fit into a datagram, so it was dropped by every receiver.
TEST(OrderDatagrams, mapOfADeepModelFits)
{
    EXPECT_TRUE(decodeDatagram(encodeDatagram(prepareOf({64, 64, 60, 2}))));
    EXPECT_TRUE(decodeDatagram(encodeDatagram(prepareOf({64, 64, 60, 5}))));
}

TEST(OrderDatagrams, incompleteOrdersAreRejected)
{
    const auto bytes = encodeDatagram(prepareOf({8, 16, 2, 3}));
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        EXPECT_FALSE(decodeDatagram(std::string_view(bytes).substr(0, length)));
    }
}

// A length claimed by foreign bytes must not be allocated.
TEST(OrderDatagrams, claimedLengthsBeyondADatagramAreRejected)
{
    auto bytes = encodeDatagram(prepareOf({1, 1, 1, 1}));
    // The packed map ends the datagram: its length in four bytes, then one byte each for layers, ranks, experts,
    // index.
    constexpr std::size_t packedBytes = 4;
    constexpr std::size_t lengthBytes = 4;
    const auto lengthAt = bytes.size() - packedBytes - lengthBytes;
    for (std::size_t index = 0; index < lengthBytes; ++index) {
        auto changed = bytes;
        changed[lengthAt + index] = '\x7f';
        EXPECT_FALSE(decodeDatagram(changed));
    }
}

} // namespace lycheelanding::rankgroups

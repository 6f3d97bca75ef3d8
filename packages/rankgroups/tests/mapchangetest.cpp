#include "lycheelanding/rankgroups/mapchange.h"

#include "lycheelanding/decisions/experts/expertmap.h"
#include "lycheelanding/rankgroups/groupswitch.h"
#include "lycheelanding/rankgroups/rankdatagrams.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace lycheelanding::rankgroups {

namespace {

const decisions::experts::MapShape largeShape{96, 192, 16, 3};

ExpertLists roundRobinLists(const decisions::experts::MapShape &shape)
{
    return expertsByLayerAndRank(decisions::experts::roundRobinMap(shape, core::MapVersion(1)));
}

/// A copy in which `count` ranks of each layer have their first expert replaced.
ExpertLists withReplacements(ExpertLists map, std::size_t count, std::uint32_t experts)
{
    for (auto &layer : map) {
        for (std::size_t rank = 0; rank < count; ++rank) {
            auto &list = layer[rank];
            auto expert = (list.front() + 1) % experts;
            while (std::find(list.begin(), list.end(), expert) != list.end()) {
                expert = (expert + 1) % experts;
            }
            list.front() = expert;
            std::sort(list.begin(), list.end());
        }
    }
    return map;
}

EngineCommandRequest prepareOf(const ExpertLists &map, std::shared_ptr<const MapChange> change)
{
    EngineCommandRequest request;
    request.command.kind = decisions::mapswitch::CommandKind::Prepare;
    request.command.map = core::MapVersion(7);
    request.experts = std::make_shared<const ExpertLists>(map);
    request.change = std::move(change);
    return request;
}

ExpertLists anyMap(std::size_t layers, std::size_t ranks)
{
    ExpertLists map(layers, std::vector<std::vector<std::uint32_t>>(ranks));
    for (auto &layer : map) {
        for (auto &list : layer) {
            const auto experts = *rc::gen::container<std::set<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 300));
            list.assign(experts.begin(), experts.end());
        }
    }
    return map;
}

} // namespace

RC_GTEST_PROP(MapChangeProperty, changeLeadsFromItsBaseToItsResult, ())
{
    const auto layers = *rc::gen::inRange<std::size_t>(1, 4);
    const auto ranks = *rc::gen::inRange<std::size_t>(1, 6);
    const auto base = anyMap(layers, ranks);
    const auto next = anyMap(layers, ranks);
    const auto result = applyChange(base, changeBetween(base, next));
    RC_ASSERT(result == std::optional(next));
}

// A rank that switches to another content than the others breaks the promise of one map per step.
RC_GTEST_PROP(MapChangeProperty, changeOfAnotherBaseGivesNoOtherMap, ())
{
    const auto base = anyMap(2, 4);
    const auto next = anyMap(2, 4);
    const auto other = anyMap(2, 4);
    const auto result = applyChange(other, changeBetween(base, next));
    RC_ASSERT(!result || *result == next);
}

RC_GTEST_PROP(MapChangeProperty, foreignEditsAreRefusedOrGiveTheResult, (const std::string &edits))
{
    const auto base = anyMap(2, 3);
    auto change = changeBetween(base, base);
    change.edits = edits;
    const auto result = applyChange(base, change);
    RC_ASSERT(!result || *result == base);
}

// The whole map of 96 ranks and 16 layers takes 0.8 s on the link of a leader of 6 Mbit/s; each switch sent it to all.
TEST(MapChangeTest, prepareOfAChangeTakesAFractionOfTheWholeMap)
{
    const auto base = roundRobinLists(largeShape);
    const auto next = withReplacements(base, 6, 192);
    const auto change = std::make_shared<const MapChange>(changeBetween(base, next));
    const auto whole = encodeDatagram(CommandOrder{1, prepareOf(next, nullptr)});
    const auto small = encodeDatagram(CommandOrder{1, prepareOf(next, change)});
    EXPECT_LT(small.size() * 6, whole.size());
}

TEST(MapChangeTest, changeSurvivesItsDatagram)
{
    const auto base = roundRobinLists(largeShape);
    const auto next = withReplacements(base, 6, 192);
    const auto change = std::make_shared<const MapChange>(changeBetween(base, next));
    const auto decoded = decodeDatagram(encodeDatagram(CommandOrder{1, prepareOf(next, change)}));
    ASSERT_TRUE(decoded);
    const auto &command = std::get<CommandOrder>(*decoded).command;
    EXPECT_EQ(command.experts, nullptr);
    ASSERT_NE(command.change, nullptr);
    EXPECT_EQ(applyChange(base, *command.change), std::optional(next));
}

TEST(KnownMapsTest, changeOfAnUnknownBaseIsNotResolved)
{
    const auto base = roundRobinLists(largeShape);
    const auto next = withReplacements(base, 2, 192);
    KnownMaps known;
    EXPECT_EQ(known.resolve(changeBetween(base, next)), nullptr);
    known.add(std::make_shared<const ExpertLists>(base));
    const auto resolved = known.resolve(changeBetween(base, next));
    ASSERT_NE(resolved, nullptr);
    EXPECT_EQ(*resolved, next);
}

// The first switch of a group would need the whole map for each rank.
TEST(KnownMapsTest, mapThatAGroupIsFormedWithNeedsNotBeSent)
{
    const auto base = mapDealtInTurn(16, 96, 192);
    const auto next = withReplacements(base, 6, 192);
    const auto resolved = KnownMaps().resolve(changeBetween(base, next));
    ASSERT_NE(resolved, nullptr);
    EXPECT_EQ(*resolved, next);
}

TEST(KnownMapsTest, foreignSizesAllocateNothing)
{
    EXPECT_TRUE(mapDealtInTurn(1, 0, 5).empty());
    EXPECT_TRUE(mapDealtInTurn(4000000000U, 4000000000U, 4000000000U).empty());
    EXPECT_TRUE(mapDealtInTurn(1, 1, 4000000000U).empty());
}

// A leader may prepare and withdraw several maps on the same active one.
TEST(KnownMapsTest, baseSurvivesSomeWithdrawnMaps)
{
    const auto base = roundRobinLists(largeShape);
    KnownMaps known;
    known.add(std::make_shared<const ExpertLists>(base));
    for (std::size_t count = 1; count <= 3; ++count) {
        const auto next = known.resolve(changeBetween(base, withReplacements(base, count, 192)));
        ASSERT_NE(next, nullptr);
        known.add(next);
    }
}

} // namespace lycheelanding::rankgroups

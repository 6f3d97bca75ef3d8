#include "lycheelanding/decisions/experts/expertmap.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <set>

namespace lycheelanding::decisions::experts {

namespace {

constexpr MapShape smallShape{4, 6, 2, 3};

Placement arbitraryPlacement(const MapShape &shape)
{
    return {core::RankIndex(*rc::gen::inRange<std::size_t>(0, shape.ranks)),
            core::LayerIndex(*rc::gen::inRange<std::size_t>(0, shape.layers)),
            core::ExpertIndex(*rc::gen::inRange<std::size_t>(0, shape.experts))};
}

} // namespace

RC_GTEST_PROP(ExpertMapTest, behavesLikeASetOfPlacements, ())
{
    ExpertMap before(smallShape, core::MapVersion(1));
    ExpertMap map = before;
    std::set<Placement> oracle;
    std::set<Placement> oracleBefore;
    const auto changes = *rc::gen::inRange(0, 60);
    const auto savedChange = *rc::gen::inRange(0, 60);
    for (int change = 0; change < changes; ++change) {
        const auto placement = arbitraryPlacement(smallShape);
        if (*rc::gen::inRange(0, 4) > 0) {
            map.addReplica(placement.layer, placement.expert, placement.rank);
            oracle.insert(placement);
        } else {
            map.removeReplica(placement.layer, placement.expert, placement.rank);
            oracle.erase(placement);
        }
        if (change == savedChange) {
            before = map;
            oracleBefore = oracle;
        }
    }
    std::vector<Placement> expectedLoads;
    std::set_difference(oracle.begin(), oracle.end(), oracleBefore.begin(), oracleBefore.end(),
                        std::back_inserter(expectedLoads));
    RC_ASSERT(placementsToLoad(before, map) == expectedLoads);

    bool respectsSlots = true;
    std::set<std::size_t> covered;
    std::vector<std::size_t> used(smallShape.ranks * smallShape.layers);
    for (const auto &placement : oracle) {
        RC_ASSERT(map.holds(placement));
        covered.insert(placement.layer.number() * smallShape.experts + placement.expert.number());
        const auto slot = placement.layer.number() * smallShape.ranks + placement.rank.number();
        respectsSlots = ++used[slot] <= smallShape.slotsPerRank && respectsSlots;
    }
    RC_ASSERT(map.respectsSlots() == respectsSlots);
    RC_ASSERT(map.isComplete() == (respectsSlots && covered.size() == smallShape.layers * smallShape.experts));
}

RC_GTEST_PROP(ExpertMapTest, roundRobinMapIsCompleteIfSlotsSuffice, ())
{
    MapShape shape;
    shape.ranks = *rc::gen::inRange<std::size_t>(1, 12);
    shape.experts = *rc::gen::inRange<std::size_t>(1, 20);
    shape.layers = *rc::gen::inRange<std::size_t>(1, 3);
    const auto needed = (shape.experts + shape.ranks - 1) / shape.ranks;
    shape.slotsPerRank = needed + *rc::gen::inRange<std::size_t>(0, 4);
    RC_ASSERT(roundRobinMap(shape, core::MapVersion(1)).isComplete());
}

TEST(ExpertMapTest, replicasOnUnavailableRanksDoNotCount)
{
    ExpertMap map = roundRobinMap({2, 2, 1, 2}, core::MapVersion(1));
    EXPECT_TRUE(map.isCompleteOn({core::RankIndex(1)}));
    map.clearRank(core::RankIndex(1));
    EXPECT_FALSE(map.isCompleteOn({core::RankIndex(1)}));
    EXPECT_TRUE(map.isComplete());
}

} // namespace lycheelanding::decisions::experts

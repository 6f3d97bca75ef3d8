#include "lycheelanding/decisions/experts/expertplanner.h"

#include "lycheelanding/decisions/experts/rankload.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <rapidcheck/gtest.h>

namespace lycheelanding::decisions::experts {

namespace {

constexpr std::uint64_t bytesPerExpert = 1000;
constexpr core::TimePoint start{std::chrono::hours(1)};

/// Settings with negligible movement cost, under which any gain justifies a move.
PlannerSettings eagerSettings()
{
    PlannerSettings settings;
    settings.weightStore = {bytesPerExpert, 1'000'000};
    settings.movementWeight = 0.001;
    settings.hysteresis = 0.0001;
    settings.bytesPerMinute = 1'000'000;
    return settings;
}

std::vector<core::RankIndex> firstRanks(std::size_t count)
{
    std::vector<core::RankIndex> ranks;
    for (std::size_t rank = 0; rank < count; ++rank) {
        ranks.emplace_back(rank);
    }
    return ranks;
}

ExpertCounts countsOf(const MapShape &shape, const std::vector<std::uint64_t> &tokens, core::TimePoint periodEnd)
{
    ExpertCounts counts(shape.layers, shape.experts, periodEnd);
    for (std::size_t index = 0; index < tokens.size(); ++index) {
        counts.setTokens(core::LayerIndex(index / shape.experts), core::ExpertIndex(index % shape.experts),
                         tokens[index]);
    }
    return counts;
}

/// Oracle of the predicted skew: for each layer the slowest rank's load divided by the mean load, averaged over layers.
double skewOf(const ExpertMap &map, const ExpertCounts &counts, std::size_t ranks)
{
    double sum = 0;
    for (std::size_t layer = 0; layer < map.shape().layers; ++layer) {
        const auto tokens = counts.tokensOf(core::LayerIndex(layer));
        const std::vector<double> weights(tokens.begin(), tokens.end());
        StepLoad step;
        addLayer(step, rankLoads(map, core::LayerIndex(layer), weights), ranks);
        sum += step.skew();
    }
    return sum / static_cast<double>(map.shape().layers);
}

MapShape arbitraryShape()
{
    MapShape shape;
    shape.ranks = *rc::gen::inRange<std::size_t>(1, 10);
    shape.experts = *rc::gen::inRange<std::size_t>(1, 14);
    shape.layers = *rc::gen::inRange<std::size_t>(1, 4);
    shape.slotsPerRank = (shape.experts + shape.ranks - 1) / shape.ranks + *rc::gen::inRange<std::size_t>(0, 3);
    return shape;
}

ExpertCounts arbitraryCounts(const MapShape &shape, core::TimePoint periodEnd)
{
    // Cubes of uniform numbers, so that a few experts receive most of the tokens.
    auto tokens = *rc::gen::container<std::vector<std::uint64_t>>(shape.layers * shape.experts,
                                                                  rc::gen::inRange<std::uint64_t>(1, 100));
    for (auto &count : tokens) {
        count = count * count * count;
    }
    return countsOf(shape, tokens, periodEnd);
}

std::vector<core::RankIndex> arbitraryRanks(const MapShape &shape)
{
    std::vector<core::RankIndex> ranks;
    for (const auto rank : firstRanks(shape.ranks)) {
        if (*rc::gen::inRange(0, 5) > 0) {
            ranks.push_back(rank);
        }
    }
    return ranks;
}

StayReason reasonOf(const Plan &plan)
{
    EXPECT_TRUE(std::holds_alternative<Stay>(plan));
    return std::holds_alternative<Stay>(plan) ? std::get<Stay>(plan).reason : StayReason::MoveUnderWay;
}

} // namespace

RC_GTEST_PROP(ExpertPlannerTest, movesKeepTheMapCompleteAndDoNotRaisePredictedSkew, ())
{
    const auto shape = arbitraryShape();
    auto settings = eagerSettings();
    settings.forecast.levelTimeConstant = core::Duration::zero();
    settings.riskWeight = *rc::gen::inRange(0, 20);
    settings.bytesPerMinute = *rc::gen::inRange<std::uint64_t>(0, 20) * bytesPerExpert;
    settings.budgetCapacityMinutes = *rc::gen::inRange(1, 4);
    ExpertPlanner planner(shape, settings);
    ByteBudget oracleBudget(
        settings.bytesPerMinute,
        static_cast<std::uint64_t>(static_cast<double>(settings.bytesPerMinute) * settings.budgetCapacityMinutes));
    auto map = roundRobinMap(shape, core::MapVersion(1));
    auto now = start;
    for (int round = 0; round < 6; ++round) {
        now += std::chrono::seconds(*rc::gen::inRange(1, 120));
        const auto counts = arbitraryCounts(shape, now);
        planner.observe(counts);
        const auto available = arbitraryRanks(shape);
        const auto plan = planner.plan(map, available, now);
        if (available.size() * shape.slotsPerRank < shape.experts) {
            RC_ASSERT(std::get<Stay>(plan).reason == StayReason::TooFewSlots);
            continue;
        }
        if (std::holds_alternative<Stay>(plan)) {
            RC_ASSERT(map.isCompleteOn(available));
            continue;
        }
        const auto &move = std::get<Move>(plan);
        RC_ASSERT(move.next.isCompleteOn(available));
        RC_ASSERT(move.next.version() == map.version().next());
        RC_ASSERT(move.loads == placementsToLoad(map, move.next));
        RC_ASSERT(move.bytes == move.loads.size() * bytesPerExpert);
        for (std::size_t rank = 0; rank < shape.ranks; ++rank) {
            const bool isAvailable
                = std::find(available.begin(), available.end(), core::RankIndex(rank)) != available.end();
            for (std::size_t layer = 0; layer < shape.layers && !isAvailable; ++layer) {
                RC_ASSERT(move.next.usedSlots(core::LayerIndex(layer), core::RankIndex(rank)) == 0U);
            }
        }
        RC_ASSERT(std::abs(move.skewAfter - skewOf(move.next, counts, available.size())) < 1e-6);
        if (map.isCompleteOn(available) && available.size() == shape.ranks) {
            RC_ASSERT(move.bytes <= oracleBudget.available(now));
            RC_ASSERT(std::abs(move.skewBefore - skewOf(map, counts, available.size())) < 1e-6);
            RC_ASSERT(move.skewAfter <= move.skewBefore + 1e-9);
        }
        planner.moveStarted(move.bytes, now);
        oracleBudget.charge(move.bytes, now);
        RC_ASSERT(std::get<Stay>(planner.plan(map, available, now)).reason == StayReason::MoveUnderWay);
        planner.moveEnded();
        map = move.next;
    }
}

RC_GTEST_PROP(ExpertPlannerTest, convergesUnderConstantCounts, ())
{
    const auto shape = arbitraryShape();
    ExpertPlanner planner(shape, eagerSettings());
    planner.observe(arbitraryCounts(shape, start));
    auto map = roundRobinMap(shape, core::MapVersion(1));
    constexpr int maxMoves = 40;
    int moves = 0;
    for (; moves < maxMoves; ++moves) {
        const auto plan = planner.plan(map, firstRanks(shape.ranks), start);
        if (std::holds_alternative<Stay>(plan)) {
            break;
        }
        map = std::get<Move>(plan).next;
    }
    RC_ASSERT(moves < maxMoves);
}

TEST(ExpertPlannerTest, balancedMapIsKept)
{
    const MapShape shape{4, 8, 3, 2};
    ExpertPlanner planner(shape, settingsOf(PlannerPreset::LowSkew, shape, {bytesPerExpert, 1'000'000}));
    planner.observe(countsOf(shape, std::vector<std::uint64_t>(24, 500), start));
    const auto map = roundRobinMap(shape, core::MapVersion(1));
    EXPECT_EQ(reasonOf(planner.plan(map, firstRanks(4), start)), StayReason::AlreadyBalanced);
}

TEST(ExpertPlannerTest, mapIsKeptWithoutCountsAndWithStaleCounts)
{
    const MapShape shape{2, 4, 1, 3};
    ExpertPlanner planner(shape, eagerSettings());
    const auto map = roundRobinMap(shape, core::MapVersion(1));
    EXPECT_EQ(reasonOf(planner.plan(map, firstRanks(2), start)), StayReason::NoCounts);
    planner.observe(countsOf(shape, {900, 10, 800, 10}, start));
    EXPECT_TRUE(std::holds_alternative<Move>(planner.plan(map, firstRanks(2), start)));
    const auto later = start + eagerSettings().countsStaleAfter + std::chrono::seconds(1);
    EXPECT_EQ(reasonOf(planner.plan(map, firstRanks(2), later)), StayReason::StaleCounts);
}

TEST(ExpertPlannerTest, layerWithoutCountsIsUnchanged)
{
    const MapShape shape{2, 4, 2, 3};
    ExpertPlanner planner(shape, eagerSettings());
    ExpertCounts counts(2, 4, start);
    counts.setTokens(core::LayerIndex(1), core::ExpertIndex(2), 900);
    counts.setTokens(core::LayerIndex(1), core::ExpertIndex(3), 100);
    planner.observe(counts);
    const auto plan = planner.plan(roundRobinMap(shape, core::MapVersion(1)), firstRanks(2), start);
    ASSERT_TRUE(std::holds_alternative<Move>(plan));
    for (const auto &load : std::get<Move>(plan).loads) {
        EXPECT_EQ(load.layer, core::LayerIndex(1));
    }
}

TEST(ExpertPlannerTest, unavailableRankIsRepairedWithoutCountsAndBudget)
{
    const MapShape shape{3, 6, 2, 3};
    auto settings = eagerSettings();
    settings.bytesPerMinute = 0;
    ExpertPlanner planner(shape, settings);
    const auto map = roundRobinMap(shape, core::MapVersion(4));
    const std::vector<core::RankIndex> remaining{core::RankIndex(0), core::RankIndex(2)};
    const auto plan = planner.plan(map, remaining, start);
    ASSERT_TRUE(std::holds_alternative<Move>(plan));
    EXPECT_TRUE(std::get<Move>(plan).next.isCompleteOn(remaining));
    const std::vector<core::RankIndex> tooFew{core::RankIndex(2)};
    EXPECT_EQ(reasonOf(planner.plan(map, tooFew, start)), StayReason::TooFewSlots);
}

TEST(ExpertPlannerTest, expertWithMoreLoadThanARankIsReplicated)
{
    const MapShape shape{4, 8, 1, 3};
    ExpertPlanner planner(shape, eagerSettings());
    planner.observe(countsOf(shape, {9000, 100, 100, 100, 100, 100, 100, 100}, start));
    const auto map = roundRobinMap(shape, core::MapVersion(1));
    const auto plan = planner.plan(map, firstRanks(4), start);
    ASSERT_TRUE(std::holds_alternative<Move>(plan));
    EXPECT_EQ(std::get<Move>(plan).next.ranksOf(core::LayerIndex(0), core::ExpertIndex(0)).size(), 4U);
    EXPECT_LT(std::get<Move>(plan).skewAfter, 1.05);
}

TEST(ExpertPlannerTest, expertsAreSwappedIfNoSlotIsFree)
{
    const MapShape shape{2, 4, 1, 2};
    ExpertPlanner planner(shape, eagerSettings());
    planner.observe(countsOf(shape, {900, 100, 900, 100}, start));
    ExpertMap map(shape, core::MapVersion(1));
    for (std::size_t expert = 0; expert < 4; ++expert) {
        map.addReplica(core::LayerIndex(0), core::ExpertIndex(expert), core::RankIndex(expert % 2));
    }
    const auto plan = planner.plan(map, firstRanks(2), start);
    ASSERT_TRUE(std::holds_alternative<Move>(plan));
    EXPECT_NEAR(std::get<Move>(plan).skewAfter, 1, 1e-9);
    EXPECT_EQ(std::get<Move>(plan).loads.size(), 2U);
}

TEST(ExpertPlannerTest, reducedDeviationDoesNotJustifyASlowerRank)
{
    // Rank 0 has the larger deviation, rank 1 the larger load. Moving expert 1 would lower the largest demand but
    // raise the largest load.
    const MapShape shape{2, 12, 1, 12};
    auto settings = eagerSettings();
    settings.riskWeight = 8;
    ExpertPlanner planner(shape, settings);
    std::vector<std::uint64_t> tokens(shape.experts, 55);
    tokens[0] = 400;
    tokens[1] = 50;
    planner.observe(countsOf(shape, tokens, start));
    ExpertMap map(shape, core::MapVersion(1));
    for (std::size_t expert = 0; expert < shape.experts; ++expert) {
        map.addReplica(core::LayerIndex(0), core::ExpertIndex(expert), core::RankIndex(expert < 2 ? 0 : 1));
    }
    const auto plan = planner.plan(map, firstRanks(2), start);
    if (std::holds_alternative<Move>(plan)) {
        EXPECT_LE(std::get<Move>(plan).skewAfter, std::get<Move>(plan).skewBefore);
    }
}

TEST(ExpertPlannerTest, allRanksAreUsedIfThereAreMoreRanksThanExperts)
{
    const MapShape shape{6, 2, 1, 1};
    ExpertPlanner planner(shape, eagerSettings());
    planner.observe(countsOf(shape, {500, 100}, start));
    auto map = ExpertMap(shape, core::MapVersion(1));
    map.addReplica(core::LayerIndex(0), core::ExpertIndex(0), core::RankIndex(0));
    map.addReplica(core::LayerIndex(0), core::ExpertIndex(1), core::RankIndex(1));
    const auto plan = planner.plan(map, firstRanks(6), start);
    ASSERT_TRUE(std::holds_alternative<Move>(plan));
    EXPECT_NEAR(std::get<Move>(plan).skewAfter, 1, 1e-6);
}

TEST(ExpertPlannerTest, mapIsKeptForSmallGainsAndWithoutBudget)
{
    const MapShape shape{2, 4, 1, 3};
    auto settings = eagerSettings();
    settings.hysteresis = 10;
    ExpertPlanner planner(shape, settings);
    planner.observe(countsOf(shape, {900, 10, 800, 10}, start));
    const auto map = roundRobinMap(shape, core::MapVersion(1));
    EXPECT_EQ(reasonOf(planner.plan(map, firstRanks(2), start)), StayReason::GainTooSmall);
    settings.hysteresis = 0.001;
    settings.bytesPerMinute = 0;
    planner.configure(settings, start);
    EXPECT_EQ(reasonOf(planner.plan(map, firstRanks(2), start)), StayReason::BudgetExhausted);
}

TEST(ExpertPlannerTest, presetsWeighMovementDifferently)
{
    const WeightStoreLimits store{bytesPerExpert, 1'000'000};
    const auto lowSkew = settingsOf(PlannerPreset::LowSkew, {8, 64, 12, 10}, store);
    const auto lowMovement = settingsOf(PlannerPreset::LowMovement, {8, 64, 12, 10}, store);
    EXPECT_LT(lowSkew.movementWeight, lowMovement.movementWeight);
    EXPECT_GT(lowSkew.bytesPerMinute, lowMovement.bytesPerMinute);
    EXPECT_EQ(plannerPresetNamed(nameOf(PlannerPreset::LowMovement)), PlannerPreset::LowMovement);
    EXPECT_FALSE(plannerPresetNamed("other"));
}

} // namespace lycheelanding::decisions::experts

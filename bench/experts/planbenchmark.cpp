#include "lycheelanding/core/random.h"
#include "lycheelanding/decisions/experts/expertplanner.h"

#include <benchmark/benchmark.h>

namespace lycheelanding::bench::experts {

namespace {

using namespace decisions::experts;

constexpr core::TimePoint now{std::chrono::hours(1)};

ExpertCounts skewedCounts(const MapShape &shape, std::uint64_t seed)
{
    core::RandomSequence random(seed);
    ExpertCounts counts(shape.layers, shape.experts, now);
    for (std::size_t layer = 0; layer < shape.layers; ++layer) {
        for (std::size_t expert = 0; expert < shape.experts; ++expert) {
            const double unit = random.nextUnit();
            counts.setTokens(core::LayerIndex(layer), core::ExpertIndex(expert),
                             static_cast<std::uint64_t>(1000 + 20000 * unit * unit * unit));
        }
    }
    return counts;
}

MapShape shapeOf(const benchmark::State &state)
{
    MapShape shape;
    shape.ranks = static_cast<std::size_t>(state.range(0));
    shape.experts = static_cast<std::size_t>(state.range(1));
    shape.layers = static_cast<std::size_t>(state.range(2));
    shape.slotsPerRank = (shape.experts + shape.ranks - 1) / shape.ranks + 1;
    return shape;
}

std::vector<core::RankIndex> ranksOf(const MapShape &shape)
{
    std::vector<core::RankIndex> ranks;
    for (std::size_t rank = 0; rank < shape.ranks; ++rank) {
        ranks.emplace_back(rank);
    }
    return ranks;
}

ExpertPlanner plannerFor(const MapShape &shape)
{
    ExpertPlanner planner(shape, settingsOf(PlannerPreset::LowSkew, shape, {44'000'000, 250'000'000}));
    planner.observe(skewedCounts(shape, 1));
    return planner;
}

/// One plan from a round-robin map, which does not depend on the counts: the longest search.
void planFromEvenMap(benchmark::State &state)
{
    const auto shape = shapeOf(state);
    const auto map = roundRobinMap(shape, core::MapVersion(1));
    const auto ranks = ranksOf(shape);
    const auto planner = plannerFor(shape);
    for (auto _ : state) {
        benchmark::DoNotOptimize(planner.plan(map, ranks, now));
    }
}

/// One plan from a map that needs no move, as in most plans.
void planFromBalancedMap(benchmark::State &state)
{
    const auto shape = shapeOf(state);
    auto map = roundRobinMap(shape, core::MapVersion(1));
    const auto ranks = ranksOf(shape);
    const auto planner = plannerFor(shape);
    auto plan = planner.plan(map, ranks, now);
    while (std::holds_alternative<Move>(plan)) {
        map = std::get<Move>(plan).next;
        plan = planner.plan(map, ranks, now);
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(planner.plan(map, ranks, now));
    }
}

void addSizes(benchmark::internal::Benchmark *benchmark)
{
    benchmark->ArgNames({"ranks", "experts", "layers"})->Unit(benchmark::kMillisecond);
    for (const int ranks : {8, 16, 32, 64}) {
        benchmark->Args({ranks, 64, 12});
    }
    for (const int experts : {32, 128, 256}) {
        benchmark->Args({8, experts, 12});
    }
    for (const int layers : {30, 60}) {
        benchmark->Args({8, 64, layers});
    }
    benchmark->Args({64, 64, 60});
    benchmark->Args({32, 128, 12});
    benchmark->Args({96, 192, 16});
}

} // namespace

BENCHMARK(planFromEvenMap)->Apply(addSizes);
BENCHMARK(planFromBalancedMap)->Apply(addSizes);

} // namespace lycheelanding::bench::experts

BENCHMARK_MAIN();

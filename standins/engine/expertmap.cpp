#include "engine/expertmap.h"

#include "lycheelanding/core/stablehash.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lycheelanding::standins::engine {

namespace {

constexpr double tokensPerPeriod = 100'000;
constexpr double zipfExponent = 0.9;

bool isHeldBy(const ExpertMap &map, const LayerExpert &layerExpert, Rank rank)
{
    if (layerExpert.layer >= map.layers.size() || layerExpert.expert >= map.layers[layerExpert.layer].size()) {
        return false;
    }
    const auto &holders = map.layers[layerExpert.layer][layerExpert.expert];
    return std::find(holders.begin(), holders.end(), rank) != holders.end();
}

/// Experts of a layer, most popular first, in one drift period: a pseudo-random order from the seed.
std::vector<std::uint32_t> popularityOrder(const EngineSettings &settings, std::uint32_t layer, std::uint64_t period)
{
    std::vector<std::uint32_t> order(settings.experts);
    std::iota(order.begin(), order.end(), 0);
    const std::uint64_t seed = core::mixBits(settings.driftSeed * 1'000'003 + layer * std::uint64_t(7919) + period);
    std::sort(order.begin(), order.end(), [seed](std::uint32_t left, std::uint32_t right) {
        return core::mixBits(seed + left) < core::mixBits(seed + right);
    });
    return order;
}

/// Share of the tokens that each expert of a layer gets in one drift period: a Zipf distribution.
std::vector<double> popularity(const EngineSettings &settings, std::uint32_t layer, std::uint64_t period)
{
    std::vector<double> shares(settings.experts);
    const auto order = popularityOrder(settings, layer, period);
    double sum = 0;
    for (std::size_t position = 0; position < order.size(); ++position) {
        shares[order[position]] = 1 / std::pow(static_cast<double>(position + 1), zipfExponent);
        sum += shares[order[position]];
    }
    for (double &share : shares) {
        share /= sum;
    }
    return shares;
}

} // namespace

ExpertMap initialMap(const EngineSettings &settings)
{
    ExpertMap map;
    map.layers.resize(settings.layers);
    for (auto &layer : map.layers) {
        for (std::uint32_t expert = 0; expert < settings.experts; ++expert) {
            layer.push_back({expert % settings.groupSize});
        }
    }
    return map;
}

ExpertMap mapFrom(const Json &json)
{
    return {json.at("layers").get<std::vector<std::vector<std::vector<Rank>>>>()};
}

Json toJson(const ExpertMap &map)
{
    return {{"layers", map.layers}};
}

std::vector<LayerExpert> expertsToLoad(const ExpertMap &current, const ExpertMap &target,
                                       const std::vector<Rank> &ranks)
{
    std::vector<LayerExpert> layerExperts;
    for (std::uint32_t layer = 0; layer < target.layers.size(); ++layer) {
        for (std::uint32_t expert = 0; expert < target.layers[layer].size(); ++expert) {
            const LayerExpert layerExpert{layer, expert};
            const auto newHolders = std::count_if(ranks.begin(), ranks.end(), [&](Rank rank) {
                return isHeldBy(target, layerExpert, rank) && !isHeldBy(current, layerExpert, rank);
            });
            layerExperts.insert(layerExperts.end(), static_cast<std::size_t>(newHolders), layerExpert);
        }
    }
    return layerExperts;
}

ExpertCounts expertCounts(const EngineSettings &settings, Step step)
{
    const std::uint64_t period = step / settings.driftPeriodSteps;
    const double progress
        = static_cast<double>(step % settings.driftPeriodSteps) / static_cast<double>(settings.driftPeriodSteps);
    ExpertCounts counts(settings.layers);
    for (std::uint32_t layer = 0; layer < settings.layers; ++layer) {
        const auto before = popularity(settings, layer, period);
        const auto after = popularity(settings, layer, period + 1);
        for (std::uint32_t expert = 0; expert < settings.experts; ++expert) {
            const double share = before[expert] * (1 - progress) + after[expert] * progress;
            counts[layer].push_back(static_cast<std::uint64_t>(share * tokensPerPeriod));
        }
    }
    return counts;
}

double stepTimeFactor(const EngineSettings &settings, const ExpertMap &map, const ExpertCounts &counts)
{
    double sum = 0;
    for (std::size_t layer = 0; layer < map.layers.size() && layer < counts.size(); ++layer) {
        std::vector<double> loads(settings.groupSize, 0);
        double total = 0;
        for (std::size_t expert = 0; expert < map.layers[layer].size() && expert < counts[layer].size(); ++expert) {
            const auto &holders = map.layers[layer][expert];
            for (const Rank rank : holders) {
                if (rank < loads.size()) {
                    loads[rank] += static_cast<double>(counts[layer][expert]) / static_cast<double>(holders.size());
                }
            }
            total += static_cast<double>(counts[layer][expert]);
        }
        const double mean = total / settings.groupSize;
        sum += mean > 0 ? std::max(1.0, *std::max_element(loads.begin(), loads.end()) / mean) : 1;
    }
    return map.layers.empty() ? 1 : sum / static_cast<double>(map.layers.size());
}

} // namespace lycheelanding::standins::engine

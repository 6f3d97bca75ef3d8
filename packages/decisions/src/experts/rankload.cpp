#include "lycheelanding/decisions/experts/rankload.h"

#include <algorithm>
#include <numeric>

namespace lycheelanding::decisions::experts {

std::vector<double> rankLoads(const ExpertMap &map, core::LayerIndex layer, std::span<const double> tokens)
{
    std::vector<double> loads(map.shape().ranks);
    for (std::size_t expert = 0; expert < tokens.size(); ++expert) {
        const auto &ranks = map.ranksOf(layer, core::ExpertIndex(expert));
        for (const auto rank : ranks) {
            loads[rank.number()] += tokens[expert] / static_cast<double>(ranks.size());
        }
    }
    return loads;
}

void addLayer(StepLoad &step, std::span<const double> loads, std::size_t ranks)
{
    if (loads.empty() || ranks == 0) {
        return;
    }
    step.slowest += *std::max_element(loads.begin(), loads.end());
    step.mean += std::accumulate(loads.begin(), loads.end(), 0.0) / static_cast<double>(ranks);
}

} // namespace lycheelanding::decisions::experts

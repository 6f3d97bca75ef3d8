#include "lycheelanding/decisions/experts/expertcounts.h"

namespace lycheelanding::decisions::experts {

ExpertCounts::ExpertCounts(std::size_t layers, std::size_t experts, core::TimePoint periodEnd)
    : m_experts(experts), m_periodEnd(periodEnd), m_layers(layers)
{ }

void ExpertCounts::setTokens(core::LayerIndex layer, core::ExpertIndex expert, std::uint64_t tokens)
{
    auto &counts = m_layers[layer.number()];
    counts.resize(m_experts);
    counts[expert.number()] = tokens;
}

bool ExpertCounts::hasLayer(core::LayerIndex layer) const
{
    return !m_layers[layer.number()].empty();
}

std::span<const std::uint64_t> ExpertCounts::tokensOf(core::LayerIndex layer) const
{
    return m_layers[layer.number()];
}

} // namespace lycheelanding::decisions::experts

#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace lycheelanding::decisions::experts {

/// Tokens that each expert of each layer received in one period. Layers may be missing.
class ExpertCounts
{
public:
    ExpertCounts() = default;
    /// Counts with all layers missing. `periodEnd` is the end of the counting period.
    ExpertCounts(std::size_t layers, std::size_t experts, core::TimePoint periodEnd);

    /// Sets one count; the layer is then present, with 0 tokens for experts that were not set.
    void setTokens(core::LayerIndex layer, core::ExpertIndex expert, std::uint64_t tokens);

    std::size_t layers() const { return m_layers.size(); }
    std::size_t experts() const { return m_experts; }
    core::TimePoint periodEnd() const { return m_periodEnd; }
    bool hasLayer(core::LayerIndex layer) const;
    /// The counts of a layer by expert; empty when the layer is missing.
    std::span<const std::uint64_t> tokensOf(core::LayerIndex layer) const;

private:
    std::size_t m_experts = 0;
    core::TimePoint m_periodEnd;
    std::vector<std::vector<std::uint64_t>> m_layers;
};

} // namespace lycheelanding::decisions::experts

#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/experts/expertcounts.h"
#include "lycheelanding/decisions/experts/plannersettings.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace lycheelanding::decisions::experts {

/// Forecast load of one expert of a layer.
struct ExpertLoad
{
    /// Fraction of the layer's tokens.
    double share = 0;
    /// Mean absolute difference between forecast and counts, relative to the share.
    double deviation = 0;
};

/// Forecast of each expert's share of its layer's tokens, from counts that may arrive late or with gaps.
///
/// Smooths the logarithm of each share exponentially; a jump restarts the smoothing.
class LoadForecast
{
public:
    LoadForecast(std::size_t layers, std::size_t experts, const ForecastSettings &settings);

    /// Replaces the settings; keeps the forecast.
    void configure(const ForecastSettings &settings) { m_settings = settings; }
    /// Adds counts; ignores counts of another shape, and layers whose known counts are at least as new.
    void observe(const ExpertCounts &counts);

    /// End of the newest period with counts of any layer.
    std::optional<core::TimePoint> newestPeriodEnd() const { return m_newestPeriodEnd; }
    bool isKnown(std::size_t layer) const { return m_layers[layer].observedAt.has_value(); }
    /// True when the layer has counts of a period that ended at or after `oldest`.
    bool isFresh(std::size_t layer, core::TimePoint oldest) const;
    /// Forecast of a layer's experts; the shares sum to 1. Requires isKnown().
    std::vector<ExpertLoad> loadsOf(std::size_t layer) const;

private:
    /// Forecast of the logarithm of one expert's share.
    struct ExpertState
    {
        double level = 0;
        /// Smoothed absolute difference between forecast and counts.
        double deviation = 0;
    };

    struct LayerState
    {
        std::optional<core::TimePoint> observedAt;
        std::vector<ExpertState> experts;
    };

    void observeLayer(LayerState &layer, std::span<const std::uint64_t> tokens, core::TimePoint periodEnd);
    void restart(LayerState &layer, const std::vector<double> &logShares) const;
    bool isJump(const ExpertState &expert, double logShare) const;
    bool isJump(const LayerState &layer, const std::vector<double> &logShares) const;
    void updateExpert(ExpertState &expert, double logShare, double minutes) const;

    std::size_t m_experts;
    ForecastSettings m_settings;
    std::optional<core::TimePoint> m_newestPeriodEnd;
    std::vector<LayerState> m_layers;
};

} // namespace lycheelanding::decisions::experts

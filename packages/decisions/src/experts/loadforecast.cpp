#include "lycheelanding/decisions/experts/loadforecast.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lycheelanding::decisions::experts {

namespace {

using Minutes = std::chrono::duration<double, std::ratio<60>>;

/// Token count assumed for an expert without tokens, so that the logarithm is defined.
constexpr double idleExpertTokens = 0.5;

/// Time constant with which the deviation is smoothed.
constexpr double deviationTimeConstantMinutes = 20;

/// Deviation assumed before the first measurement, and lower bound of the deviation in the jump test.
constexpr double initialDeviation = 0.1;
constexpr double minDeviation = 0.02;

/// When more than this fraction of a layer's experts jump, the forecast of the whole layer restarts: the load of its
/// other experts has changed as well.
constexpr double maxJumpingFraction = 0.2;

/// Weight of a new value after `minutes`, in exponential smoothing with a time constant in minutes.
double smoothingFactor(double minutes, double timeConstant)
{
    return timeConstant > 0 ? 1 - std::exp(-minutes / timeConstant) : 1;
}

std::vector<double> logSharesOf(std::span<const std::uint64_t> tokens)
{
    const double total = std::accumulate(tokens.begin(), tokens.end(), 0.0);
    std::vector<double> logShares;
    for (const auto count : tokens) {
        logShares.push_back(std::log(std::max(idleExpertTokens, static_cast<double>(count)) / total));
    }
    return logShares;
}

} // namespace

LoadForecast::LoadForecast(std::size_t layers, std::size_t experts, const ForecastSettings &settings)
    : m_experts(experts), m_settings(settings), m_layers(layers)
{ }

void LoadForecast::observe(const ExpertCounts &counts)
{
    if (counts.layers() != m_layers.size() || counts.experts() != m_experts) {
        return;
    }
    for (std::size_t layer = 0; layer < m_layers.size(); ++layer) {
        auto &state = m_layers[layer];
        const auto tokens = counts.tokensOf(core::LayerIndex(layer));
        const bool isNewer = !state.observedAt || counts.periodEnd() > *state.observedAt;
        const bool isEmpty = std::all_of(tokens.begin(), tokens.end(), [](auto count) { return count == 0; });
        if (isNewer && !isEmpty) {
            observeLayer(state, tokens, counts.periodEnd());
        }
    }
}

bool LoadForecast::isFresh(std::size_t layer, core::TimePoint oldest) const
{
    const auto &observedAt = m_layers[layer].observedAt;
    return observedAt && *observedAt >= oldest;
}

std::vector<ExpertLoad> LoadForecast::loadsOf(std::size_t layer) const
{
    std::vector<ExpertLoad> loads;
    double total = 0;
    for (const auto &expert : m_layers[layer].experts) {
        loads.push_back({std::exp(expert.level), expert.deviation});
        total += loads.back().share;
    }
    for (auto &load : loads) {
        load.share /= total;
    }
    return loads;
}

void LoadForecast::observeLayer(LayerState &layer, std::span<const std::uint64_t> tokens, core::TimePoint periodEnd)
{
    const auto logShares = logSharesOf(tokens);
    if (!layer.observedAt || isJump(layer, logShares)) {
        restart(layer, logShares);
    } else {
        const double minutes = Minutes(periodEnd - *layer.observedAt).count();
        for (std::size_t expert = 0; expert < m_experts; ++expert) {
            updateExpert(layer.experts[expert], logShares[expert], minutes);
        }
    }
    layer.observedAt = periodEnd;
    m_newestPeriodEnd = m_newestPeriodEnd ? std::max(*m_newestPeriodEnd, periodEnd) : periodEnd;
}

void LoadForecast::restart(LayerState &layer, const std::vector<double> &logShares) const
{
    layer.experts.resize(m_experts, {0, initialDeviation});
    for (std::size_t expert = 0; expert < m_experts; ++expert) {
        layer.experts[expert].level = logShares[expert];
    }
}

bool LoadForecast::isJump(const ExpertState &expert, double logShare) const
{
    const double deviation = std::max(expert.deviation, minDeviation);
    return std::abs(logShare - expert.level) > m_settings.jumpDeviations * deviation;
}

bool LoadForecast::isJump(const LayerState &layer, const std::vector<double> &logShares) const
{
    std::size_t jumps = 0;
    for (std::size_t expert = 0; expert < m_experts; ++expert) {
        jumps += isJump(layer.experts[expert], logShares[expert]) ? 1 : 0;
    }
    return static_cast<double>(jumps) > maxJumpingFraction * static_cast<double>(m_experts);
}

void LoadForecast::updateExpert(ExpertState &expert, double logShare, double minutes) const
{
    if (isJump(expert, logShare)) {
        expert.level = logShare;
        return;
    }
    const double error = logShare - expert.level;
    expert.level += smoothingFactor(minutes, Minutes(m_settings.levelTimeConstant).count()) * error;
    expert.deviation += smoothingFactor(minutes, deviationTimeConstantMinutes) * (std::abs(error) - expert.deviation);
}

} // namespace lycheelanding::decisions::experts

#include "scenario.h"

#include "lycheelanding/core/random.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>

namespace lycheelanding::bench::experts {

namespace {

/// Standard deviation of the logarithm of the experts' popularity.
constexpr double popularityDeviation = 0.7;

/// Amplitude and period of the sinusoidal drift of the logarithm of an expert's popularity.
constexpr double slowDriftAmplitude = 1.0;
constexpr double backgroundDriftAmplitude = 0.2;
constexpr double driftCycleHours = 24;

/// Duration of the morning jump.
constexpr double jumpDurationHours = 0.25;

/// Share of its layer's tokens that the hot expert receives, duration of the ramp up to it and of the ramp down, and
/// time from the start of the one ramp to the start of the other.
constexpr double hotShare = 0.25;
constexpr double hotRampHours = 1.0 / 30;
constexpr double hotDurationHours = 1.5;

/// Rises linearly from 0 at `start` to 1 at `start` + `durationHours`.
double rampFrom(double hour, double start, double durationHours)
{
    return std::clamp((hour - start) / durationHours, 0.0, 1.0);
}

} // namespace

double nextNormal(core::RandomSequence &random)
{
    const double radius = std::sqrt(-2 * std::log(1 - random.nextUnit()));
    return radius * std::cos(2 * std::numbers::pi * random.nextUnit());
}

ChangeTimes drawChangeTimes(core::RandomSequence &random)
{
    const double first = 1.5 + random.nextUnit();
    return {first, first + 3 + random.nextUnit()};
}

LayerScenario::LayerScenario(ScenarioKind kind, std::size_t experts, const ChangeTimes &times,
                             core::RandomSequence &random)
    : m_kind(kind), m_times(times), m_firstHotExpert(random.nextBelow(experts)),
      m_secondHotExpert(random.nextBelow(experts))
{
    for (std::size_t expert = 0; expert < experts; ++expert) {
        m_initialLogWeights.push_back(popularityDeviation * nextNormal(random));
        m_changedLogWeights.push_back(popularityDeviation * nextNormal(random));
        m_driftPhases.push_back(2 * std::numbers::pi * random.nextUnit());
    }
}

std::vector<double> LayerScenario::weightsAt(double hour) const
{
    std::vector<double> weights;
    for (std::size_t expert = 0; expert < m_initialLogWeights.size(); ++expert) {
        weights.push_back(std::exp(logWeight(expert, hour)));
    }
    if (m_kind == ScenarioKind::HotExpert) {
        addHotExpert(weights, hour);
    }
    return weights;
}

double LayerScenario::logWeight(std::size_t expert, double hour) const
{
    const double amplitude = m_kind == ScenarioKind::SlowDrift ? slowDriftAmplitude : backgroundDriftAmplitude;
    const double angle = 2 * std::numbers::pi * hour / driftCycleHours + m_driftPhases[expert];
    const double drift = amplitude * (std::sin(angle) - std::sin(m_driftPhases[expert]));
    switch (m_kind) {
    case ScenarioKind::SlowDrift:
    case ScenarioKind::HotExpert:
        return m_initialLogWeights[expert] + drift;
    case ScenarioKind::MorningJump: {
        const double progress = rampFrom(hour, m_times.first, jumpDurationHours);
        return (1 - progress) * m_initialLogWeights[expert] + progress * m_changedLogWeights[expert] + drift;
    }
    case ScenarioKind::SuddenFlip: {
        const bool isFlipped = hour >= m_times.first && hour < m_times.second;
        return (isFlipped ? -m_initialLogWeights[expert] : m_initialLogWeights[expert]) + drift;
    }
    }
    return 0;
}

void LayerScenario::addHotExpert(std::vector<double> &weights, double hour) const
{
    const double first
        = rampFrom(hour, m_times.first, hotRampHours) - rampFrom(hour, m_times.first + hotDurationHours, hotRampHours);
    const double second = rampFrom(hour, m_times.second, hotRampHours)
        - rampFrom(hour, m_times.second + hotDurationHours, hotRampHours);
    const double intensity = std::max(first, second);
    const std::size_t hotExpert = first > second ? m_firstHotExpert : m_secondHotExpert;
    const double otherWeights = std::accumulate(weights.begin(), weights.end(), 0.0) - weights[hotExpert];
    const double hotWeight = otherWeights * hotShare / (1 - hotShare);
    weights[hotExpert] += intensity * std::max(0.0, hotWeight - weights[hotExpert]);
}

} // namespace lycheelanding::bench::experts

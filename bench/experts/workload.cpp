#include "workload.h"

#include "lycheelanding/core/random.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lycheelanding::bench::experts {

namespace {

/// Short-term fluctuation of the logarithm of each expert's popularity, an AR(1) process: standard deviation and
/// correlation time.
constexpr double fluctuationDeviation = 0.1;
constexpr double fluctuationCorrelationSeconds = 300;

/// Bounds of the delay between the end of a period and the arrival of its report.
constexpr double minReportDelaySeconds = 15;
constexpr double maxReportDelaySeconds = 45;

/// Probability that a report, or one layer of a report, is lost.
constexpr double reportLossProbability = 0.05;
constexpr double layerLossProbability = 0.05;

/// Duration of the one outage of each day, in which all reports are lost.
constexpr double outageHours = 0.25;

} // namespace

Workload::Workload(ScenarioKind scenario, const SimulationParameters &parameters, std::uint64_t seed)
    : m_scenario(scenario), m_parameters(parameters)
{
    core::RandomSequence random(seed * 1000003 + static_cast<std::uint64_t>(scenario));
    std::vector<double> shares(parameters.ticks() * parameters.shape.layers * parameters.shape.experts);
    const auto times = drawChangeTimes(random);
    for (std::size_t layer = 0; layer < parameters.shape.layers; ++layer) {
        generateLayer(layer, times, random, shares);
    }
    m_initialShares.assign(shares.begin(), shares.begin() + static_cast<std::ptrdiff_t>(indexOf(1, 0)));
    generateSteps(shares, random);
    generateReports(shares, random);
}

core::TimePoint Workload::timeOf(std::size_t tick) const
{
    return core::TimePoint(std::chrono::hours(1) + m_parameters.tick * tick);
}

std::span<const double> Workload::tokensOf(std::size_t tick, std::size_t layer) const
{
    return std::span(m_tokens).subspan(indexOf(tick, layer), m_parameters.shape.experts);
}

std::span<const double> Workload::initialShares(std::size_t layer) const
{
    return std::span(m_initialShares).subspan(indexOf(0, layer), m_parameters.shape.experts);
}

void Workload::generateLayer(std::size_t layer, const ChangeTimes &times, core::RandomSequence &random,
                             std::vector<double> &shares) const
{
    const LayerScenario scenario(m_scenario, m_parameters.shape.experts, times, random);
    const double autocorrelation
        = std::exp(-static_cast<double>(m_parameters.tick.count()) / fluctuationCorrelationSeconds);
    const double noiseScale = std::sqrt(1 - autocorrelation * autocorrelation);
    std::vector<double> fluctuation(m_parameters.shape.experts);
    for (auto &value : fluctuation) {
        value = fluctuationDeviation * nextNormal(random);
    }
    for (std::size_t tick = 0; tick < m_parameters.ticks(); ++tick) {
        const double hour = std::chrono::duration<double, std::ratio<3600>>(m_parameters.tick * tick).count();
        auto weights = scenario.weightsAt(hour);
        for (std::size_t expert = 0; expert < weights.size(); ++expert) {
            fluctuation[expert]
                = autocorrelation * fluctuation[expert] + noiseScale * fluctuationDeviation * nextNormal(random);
            weights[expert] *= std::exp(fluctuation[expert]);
        }
        const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
        for (std::size_t expert = 0; expert < weights.size(); ++expert) {
            shares[indexOf(tick, layer) + expert] = weights[expert] / total;
        }
    }
}

void Workload::generateSteps(const std::vector<double> &shares, core::RandomSequence &random)
{
    for (const double share : shares) {
        // The normal distribution approximates the Poisson distribution of the tokens of one step.
        const double mean = share * m_parameters.tokensPerStep;
        m_tokens.push_back(std::max(0.0, mean + std::sqrt(mean) * nextNormal(random)));
    }
}

void Workload::generateReports(const std::vector<double> &shares, core::RandomSequence &random)
{
    const auto &shape = m_parameters.shape;
    const auto dayHours = std::chrono::duration<double, std::ratio<3600>>(m_parameters.day).count();
    const double outageStart = random.nextUnit() * (dayHours - outageHours);
    const double tokensPerTick
        = m_parameters.tokensPerStep * m_parameters.stepsPerSecond * static_cast<double>(m_parameters.tick.count());
    for (std::size_t end = m_parameters.ticksPerPeriod(); end <= m_parameters.ticks();
         end += m_parameters.ticksPerPeriod()) {
        const double hour = std::chrono::duration<double, std::ratio<3600>>(m_parameters.tick * end).count();
        const bool isReportLost
            = random.nextUnit() < reportLossProbability || (hour >= outageStart && hour < outageStart + outageHours);
        const double delaySeconds
            = minReportDelaySeconds + (maxReportDelaySeconds - minReportDelaySeconds) * random.nextUnit();
        decisions::experts::ExpertCounts counts(shape.layers, shape.experts, timeOf(end));
        for (std::size_t layer = 0; layer < shape.layers; ++layer) {
            if (random.nextUnit() < layerLossProbability) {
                continue;
            }
            for (std::size_t expert = 0; expert < shape.experts; ++expert) {
                double tokens = 0;
                for (std::size_t tick = end - m_parameters.ticksPerPeriod(); tick < end; ++tick) {
                    tokens += shares[indexOf(tick, layer) + expert] * tokensPerTick;
                }
                counts.setTokens(core::LayerIndex(layer), core::ExpertIndex(expert),
                                 static_cast<std::uint64_t>(tokens));
            }
        }
        if (!isReportLost) {
            const auto delay = std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(delaySeconds));
            m_reports.push_back({timeOf(end) + delay, counts});
        }
    }
}

std::size_t Workload::indexOf(std::size_t tick, std::size_t layer) const
{
    return (tick * m_parameters.shape.layers + layer) * m_parameters.shape.experts;
}

} // namespace lycheelanding::bench::experts

#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/experts/expertcounts.h"
#include "scenario.h"
#include "simulationparameters.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace lycheelanding::bench::experts {

/// Expert counts of one period as they reach the planner: with a delay, and some layers missing.
struct CountReport
{
    core::TimePoint arrival;
    decisions::experts::ExpertCounts counts;
};

/// The load of one day of a scenario; the same for every policy.
class Workload
{
public:
    Workload(ScenarioKind scenario, const SimulationParameters &parameters, std::uint64_t seed);

    ScenarioKind scenario() const { return m_scenario; }
    const SimulationParameters &parameters() const { return m_parameters; }
    core::TimePoint timeOf(std::size_t tick) const;
    /// Tokens of each expert in the measured step of a tick.
    std::span<const double> tokensOf(std::size_t tick, std::size_t layer) const;
    /// Expected share of the layer's tokens that each expert receives at the start of the day.
    std::span<const double> initialShares(std::size_t layer) const;
    /// In order of arrival.
    const std::vector<CountReport> &reports() const { return m_reports; }

private:
    void generateLayer(std::size_t layer, const ChangeTimes &times, core::RandomSequence &random,
                       std::vector<double> &shares) const;
    void generateSteps(const std::vector<double> &shares, core::RandomSequence &random);
    void generateReports(const std::vector<double> &shares, core::RandomSequence &random);
    std::size_t indexOf(std::size_t tick, std::size_t layer) const;

    ScenarioKind m_scenario;
    SimulationParameters m_parameters;
    std::vector<double> m_tokens;
    std::vector<double> m_initialShares;
    std::vector<CountReport> m_reports;
};

} // namespace lycheelanding::bench::experts

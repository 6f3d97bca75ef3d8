#pragma once

#include "lycheelanding/core/nametable.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace lycheelanding::core {
class RandomSequence;
}

namespace lycheelanding::bench::experts {

enum class ScenarioKind : std::uint8_t {
    SlowDrift,
    MorningJump,
    SuddenFlip,
    HotExpert,
};

inline constexpr std::array<core::NameEntry<ScenarioKind>, 4> scenarioNames{{
    {ScenarioKind::SlowDrift, "slowDrift"},
    {ScenarioKind::MorningJump, "morningJump"},
    {ScenarioKind::SuddenFlip, "suddenFlip"},
    {ScenarioKind::HotExpert, "hotExpert"},
}};

/// Times at which the load changes, in hours from the start of the day; the same for all layers.
struct ChangeTimes
{
    double first = 0;
    double second = 0;
};

ChangeTimes drawChangeTimes(core::RandomSequence &random);

/// The popularity of one layer's experts over the day, without short-term fluctuation.
class LayerScenario
{
public:
    LayerScenario(ScenarioKind kind, std::size_t experts, const ChangeTimes &times, core::RandomSequence &random);

    /// Unnormalised weights of the experts; `hour` counts from the start of the day.
    std::vector<double> weightsAt(double hour) const;

private:
    double logWeight(std::size_t expert, double hour) const;
    void addHotExpert(std::vector<double> &weights, double hour) const;

    ScenarioKind m_kind;
    std::vector<double> m_initialLogWeights;
    std::vector<double> m_changedLogWeights;
    std::vector<double> m_driftPhases;
    ChangeTimes m_times;
    std::size_t m_firstHotExpert;
    std::size_t m_secondHotExpert;
};

/// Draws from the normal distribution with mean 0 and standard deviation 1.
double nextNormal(core::RandomSequence &random);

} // namespace lycheelanding::bench::experts

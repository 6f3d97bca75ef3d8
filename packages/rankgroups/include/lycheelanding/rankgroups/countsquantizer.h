#pragma once

#include "lycheelanding/rankgroups/countscollector.h"

namespace lycheelanding::rankgroups {

/// Rounds choices to units in which they take about half a byte each. What a rounding leaves out is part of the next
/// report, so that no expert's share is distorted for long.
class CountsQuantizer
{
public:
    CountsReport quantize(const SummedChoices &sum);

private:
    core::Generation m_generation;
    /// By expert, choices that no report has contained yet.
    std::vector<std::uint64_t> m_remainders;
};

} // namespace lycheelanding::rankgroups

#include "lycheelanding/rankgroups/countsquantizer.h"

#include <numeric>

namespace lycheelanding::rankgroups {

namespace {

/// Units in which the mean count is at most this much are small enough. Rounding errors are independent, so that those
/// of a sum over many ranks are a percent.
constexpr std::uint64_t maxMeanUnits = 7;

} // namespace

CountsReport CountsQuantizer::quantize(const SummedChoices &sum)
{
    if (m_generation != sum.generation || m_remainders.size() != sum.choices.size()) {
        m_generation = sum.generation;
        m_remainders.assign(sum.choices.size(), 0);
    }
    for (std::size_t cell = 0; cell < sum.choices.size(); ++cell) {
        m_remainders[cell] += sum.choices[cell];
    }
    CountsReport report{sum.generation, sum.step, sum.ranks, 0, ChoiceCounts(sum.choices.size())};
    const auto total = std::accumulate(m_remainders.begin(), m_remainders.end(), std::uint64_t{0});
    while ((total >> report.scaleBits) > maxMeanUnits * m_remainders.size()) {
        ++report.scaleBits;
    }
    for (std::size_t cell = 0; cell < m_remainders.size(); ++cell) {
        report.counts[cell] = static_cast<std::uint32_t>(m_remainders[cell] >> report.scaleBits);
        m_remainders[cell] -= std::uint64_t{report.counts[cell]} << report.scaleBits;
    }
    return report;
}

} // namespace lycheelanding::rankgroups

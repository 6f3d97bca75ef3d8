#include "lycheelanding/rankgroups/demandaverage.h"

#include <cmath>
#include <numeric>
#include <utility>

namespace lycheelanding::rankgroups {

namespace {

/// Factor that each new window applies to the weight of the earlier ones; about ten windows contribute to the average.
constexpr double windowDecay = 0.9;
/// Minimum cosine similarity between a window and the average. Windows without a shift reach it; windows with a shift
/// have at most 0.9.
constexpr double minSimilarity = 0.93;
/// A window with fewer choices is too small a sample to detect a shift.
constexpr std::uint64_t minChoicesForShift = 500;

} // namespace

bool DemandAverage::hasShifted(std::span<const std::uint64_t> counts) const
{
    double product = 0.0;
    double sumsSquared = 0.0;
    double countsSquared = 0.0;
    for (std::size_t expert = 0; expert < m_sums.size(); ++expert) {
        const auto count = static_cast<double>(counts[expert]);
        product += m_sums[expert] * count;
        sumsSquared += m_sums[expert] * m_sums[expert];
        countsSquared += count * count;
    }
    return product < minSimilarity * std::sqrt(sumsSquared * countsSquared);
}

void DemandAverage::add(std::span<const std::uint64_t> counts)
{
    const auto choices = std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
    if (choices == 0) {
        return;
    }
    const bool isShift = choices >= minChoicesForShift && hasShifted(counts);
    const bool discardsHistory = isShift || std::exchange(m_isProvisional, false);
    for (std::size_t expert = 0; expert < m_sums.size(); ++expert) {
        const double before = discardsHistory ? 0.0 : windowDecay * m_sums[expert];
        m_sums[expert] = before + static_cast<double>(counts[expert]);
    }
    m_isProvisional = isShift;
    m_windowsSinceShift = isShift ? 0 : m_windowsSinceShift + 1;
}

} // namespace lycheelanding::rankgroups

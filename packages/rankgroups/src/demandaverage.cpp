#include "lycheelanding/rankgroups/demandaverage.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lycheelanding::rankgroups {

namespace {

/// Factor that each new window applies to the weight of the earlier ones; about ten windows contribute to the average.
constexpr double windowDecay = 0.9;
/// A window is a shift if its distance from the average is this many times the largest one of windows without a shift.
/// That is some thousandths in a group that serves hundreds of requests at once; many of its shifts have a distance of
/// some hundredths.
constexpr double shiftFactor = 2.5;
/// Bounds of the distance of a shift. In a small group windows without a shift reach 0.07, those with one 0.1.
constexpr double minShiftDistance = 0.006;
constexpr double maxShiftDistance = 0.07;
/// Factor that each new window applies to the largest distance, which follows a change of the noise within seconds.
constexpr double distanceDecay = 0.98;
/// A window with fewer choices is too small a sample to detect a shift.
constexpr std::uint64_t minChoicesForShift = 500;

} // namespace

double DemandAverage::distanceOf(std::span<const std::uint64_t> counts) const
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
    const double norms = std::sqrt(sumsSquared * countsSquared);
    return norms > 0.0 ? std::max(0.0, 1.0 - product / norms) : 0.0;
}

double DemandAverage::shiftDistance() const
{
    return std::clamp(shiftFactor * m_largestDistance, minShiftDistance, maxShiftDistance);
}

void DemandAverage::add(std::span<const std::uint64_t> counts)
{
    const auto choices = std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
    if (choices == 0) {
        return;
    }
    const bool isLarge = choices >= minChoicesForShift;
    const double distance = distanceOf(counts);
    const bool isShift = isLarge && distance > shiftDistance();
    const bool hasAverage = std::any_of(m_sums.begin(), m_sums.end(), [](double sum) { return sum > 0.0; });
    if (isLarge && hasAverage && !isShift) {
        m_largestDistance = std::max(distance, distanceDecay * m_largestDistance);
    }
    const bool wasProvisional = m_isProvisional;
    const bool discardsHistory = isShift || wasProvisional;
    for (std::size_t expert = 0; expert < m_sums.size(); ++expert) {
        const double before = discardsHistory ? 0.0 : windowDecay * m_sums[expert];
        m_sums[expert] = before + static_cast<double>(counts[expert]);
    }
    // The window after the one in which a shift was detected has the new demand alone.
    m_isProvisional = isShift && !wasProvisional;
    m_windowsSinceShift = isShift ? 0 : m_windowsSinceShift + 1;
}

} // namespace lycheelanding::rankgroups

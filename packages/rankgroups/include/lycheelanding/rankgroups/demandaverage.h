#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace lycheelanding::rankgroups {

/// Demand for the experts of one layer as a moving average since the last shift of the demand.
///
/// Between shifts, the counts of short windows differ only by the requests that happened to run; loading a new map for
/// such noise is wasted work. After a shift, the counts from before it are of no use, so the average starts again.
class DemandAverage
{
public:
    explicit DemandAverage(std::size_t experts) : m_sums(experts, 0.0) { }

    /// Adds the counts of one window: how often each expert was chosen, by expert index.
    void add(std::span<const std::uint64_t> counts);
    /// Weighted sums of the counts by expert index; newer windows have more weight.
    const std::vector<double> &sums() const { return m_sums; }
    /// Whether `settledWindows` windows were added since the last shift, so that one more changes the average little.
    bool isSettled() const { return m_windowsSinceShift >= settledWindows; }
    /// Whether the average holds only the window in which a shift was detected; a part of that window may precede the
    /// shift.
    bool isProvisional() const { return m_isProvisional; }

private:
    static constexpr int settledWindows = 5;
    static constexpr double initialDistance = 0.03;

    /// Distance of a window from the average: 0 for the same shares, 1 for experts that have none in common.
    double distanceOf(std::span<const std::uint64_t> counts) const;
    /// Distance from which on a window is a shift.
    double shiftDistance() const;

    std::vector<double> m_sums;
    bool m_isProvisional = true;
    /// Largest distance of recent windows without a shift.
    double m_largestDistance = initialDistance;
    int m_windowsSinceShift = 0;
};

} // namespace lycheelanding::rankgroups

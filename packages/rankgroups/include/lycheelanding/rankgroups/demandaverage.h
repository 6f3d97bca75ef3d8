#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace lycheelanding::rankgroups {

/// The demand for the experts of one layer, averaged over the time since it last shifted.
///
/// Between shifts the counts of a short window differ from each other by the requests that happened to run; a map that
/// follows them is loaded for nothing. After a shift nothing of what was before is of use.
class DemandAverage
{
public:
    explicit DemandAverage(std::size_t experts) : m_sums(experts, 0.0) { }

    /// Adds the choices of one window, by expert.
    void add(std::span<const std::uint64_t> counts);
    /// Choices by expert, newer ones with more weight.
    const std::vector<double> &sums() const { return m_sums; }
    /// Whether some windows have come since the last shift, so that a further one says little.
    bool isSettled() const { return m_windowsSinceShift >= settledWindows; }

private:
    static constexpr int settledWindows = 5;

    bool hasShifted(std::span<const std::uint64_t> counts) const;

    std::vector<double> m_sums;
    /// Only the window in which a shift was noticed is known, of which a part may be older than the shift.
    bool m_isProvisional = true;
    int m_windowsSinceShift = 0;
};

} // namespace lycheelanding::rankgroups

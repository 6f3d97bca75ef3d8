#pragma once

#include "lycheelanding/core/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace lycheelanding::report {

/// Quantiles that a summary estimates.
inline constexpr std::array<double, 3> latencyQuantiles{0.5, 0.9, 0.99};

struct LatencyStatistics
{
    /// Over the life of the process.
    std::uint64_t count = 0;
    core::Duration sum{};
    /// Estimates over the last one to two windows; zero when those are empty.
    std::array<core::Duration, latencyQuantiles.size()> quantiles{};
};

/// Quantiles of a stream of durations in constant memory (extended P-square), renewed every minute.
/// Not thread-safe.
class LatencySummary
{
public:
    LatencySummary();
    ~LatencySummary();
    LatencySummary(LatencySummary &&) noexcept;
    LatencySummary &operator=(LatencySummary &&) noexcept;

    void record(core::Duration duration, core::TimePoint now);
    LatencyStatistics statistics(core::TimePoint now) const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace lycheelanding::report

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
    /// Number and sum of all durations since the process started.
    std::uint64_t count = 0;
    core::Duration sum{};
    /// Estimates over the last one to two windows of a minute; zero if those hold too few values.
    std::array<core::Duration, latencyQuantiles.size()> quantiles{};
};

/// Estimates quantiles of a stream of durations in constant memory with the extended P-square algorithm, which
/// restarts every minute. Not thread-safe.
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

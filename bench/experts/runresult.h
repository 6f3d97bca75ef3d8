#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lycheelanding::bench::experts {

/// Skew of a step that is split perfectly.
inline constexpr double lowerBound = 1;

/// What one policy did in one scenario.
struct RunResult
{
    std::string scenario;
    std::string policy;
    /// Skew of each measured step.
    std::vector<double> skews;
    std::uint64_t bytesMoved = 0;
    std::size_t switches = 0;
    std::size_t delayedSteps = 0;
    /// Calls of plan() outside moves, and the time that they took.
    std::size_t plans = 0;
    std::chrono::nanoseconds planTime{0};

    double meanSkew() const;
    double p99Skew() const;
};

} // namespace lycheelanding::bench::experts

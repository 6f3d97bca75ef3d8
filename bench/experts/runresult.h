#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lycheelanding::bench::experts {

/// Skew of a step whose load is split evenly between the ranks.
inline constexpr double lowerBound = 1;

/// Results of one policy in one scenario.
struct RunResult
{
    std::string scenario;
    std::string policy;
    /// Skew of each measured step.
    std::vector<double> skews;
    std::uint64_t bytesMoved = 0;
    std::size_t switches = 0;
    std::size_t delayedSteps = 0;
    /// Calls of plan(), which are made only while no move is in progress, and their total duration.
    std::size_t plans = 0;
    std::chrono::nanoseconds planTime{0};

    double meanSkew() const;
    double p99Skew() const;
};

} // namespace lycheelanding::bench::experts

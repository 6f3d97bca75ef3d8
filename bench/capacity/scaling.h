#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

/// Message sizes and processing times at growing sizes; docs/CAPACITY.md extrapolates from them.
namespace lycheelanding::bench::capacity {

/// One measured value at one size.
struct ScalingRow
{
    std::string quantity;
    std::size_t size = 0;
    double value = 0;
    std::string unit;
};

std::vector<ScalingRow> measureMessages();
std::vector<ScalingRow> measureSelector();
std::vector<ScalingRow> measureDocuments();

/// Mean time of one call in microseconds, over calls for at least 200 ms.
template <typename Call>
double microsecondsPerCall(Call call)
{
    constexpr std::chrono::milliseconds minDuration(200);
    const auto begin = std::chrono::steady_clock::now();
    std::size_t calls = 0;
    while (std::chrono::steady_clock::now() - begin < minDuration) {
        call();
        ++calls;
    }
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - begin;
    return took.count() / static_cast<double>(calls);
}

} // namespace lycheelanding::bench::capacity

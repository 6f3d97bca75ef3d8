#pragma once

#include <chrono>
#include <concepts>

/// Time types and clocks. Decision code never reads a clock: its callers pass the time in.
namespace lycheelanding::core {

using Duration = std::chrono::nanoseconds;

/// Monotonic time of one process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Wall-clock time; comparable between processes up to the clock skew of the VMs.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

template <typename Type>
concept Clock = requires(const Type &clock)
{
    {
        clock.now()
        } -> std::same_as<TimePoint>;
    {
        clock.wallNow()
        } -> std::same_as<WallTime>;
};

class SystemClock
{
public:
    TimePoint now() const { return std::chrono::steady_clock::now(); }

    WallTime wallNow() const
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    }
};

/// A clock that advances only through advance(); for tests and benchmarks in virtual time.
class ManualClock
{
public:
    void advance(Duration step) { m_sinceStart += step; }

    TimePoint now() const { return TimePoint(m_sinceStart); }

    WallTime wallNow() const
    {
        constexpr auto firstWallTime = std::chrono::hours(24 * 365 * 50);
        return WallTime(firstWallTime + std::chrono::duration_cast<std::chrono::milliseconds>(m_sinceStart));
    }

private:
    Duration m_sinceStart = std::chrono::hours(1);
};

} // namespace lycheelanding::core

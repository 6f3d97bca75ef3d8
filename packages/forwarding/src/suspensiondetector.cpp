#include "lycheelanding/forwarding/suspensiondetector.h"

#include <ctime>
#include <utility>

namespace lycheelanding::forwarding {

namespace {

/// Shorter suspensions are ignored: they do no more harm than a scheduling delay of the process.
constexpr std::chrono::milliseconds minSuspension{300};

std::chrono::nanoseconds timeOf(clockid_t clock)
{
    timespec time{};
    ::clock_gettime(clock, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

std::chrono::nanoseconds totalSuspendedTime()
{
    return timeOf(CLOCK_BOOTTIME) - timeOf(CLOCK_MONOTONIC);
}

} // namespace

SuspensionDetector::SuspensionDetector() : m_suspendedTime(totalSuspendedTime()) { }

bool SuspensionDetector::hasBeenSuspended()
{
    const auto suspendedTime = totalSuspendedTime();
    return suspendedTime - std::exchange(m_suspendedTime, suspendedTime) >= minSuspension;
}

} // namespace lycheelanding::forwarding

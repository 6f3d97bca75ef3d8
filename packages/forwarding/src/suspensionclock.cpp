#include "lycheelanding/forwarding/suspensionclock.h"

#include <ctime>
#include <utility>

namespace lycheelanding::forwarding {

namespace {

/// Shorter stops are as harmless as a slow turn of the process.
constexpr std::chrono::milliseconds shortestSuspension{300};

std::chrono::nanoseconds timeOf(clockid_t clock)
{
    timespec time{};
    ::clock_gettime(clock, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

std::chrono::nanoseconds currentLead()
{
    return timeOf(CLOCK_BOOTTIME) - timeOf(CLOCK_MONOTONIC);
}

} // namespace

SuspensionClock::SuspensionClock() : m_lead(currentLead()) { }

bool SuspensionClock::hasBeenSuspended()
{
    const auto lead = currentLead();
    return lead - std::exchange(m_lead, lead) >= shortestSuspension;
}

} // namespace lycheelanding::forwarding

#pragma once

#include <chrono>

namespace lycheelanding::forwarding {

/// Notices that the VM stood still: the time since its boot has passed without the steady clock.
class SuspensionClock
{
public:
    SuspensionClock();

    /// True once for each time that the VM stood still.
    bool hasBeenSuspended();

private:
    std::chrono::nanoseconds m_lead;
};

} // namespace lycheelanding::forwarding

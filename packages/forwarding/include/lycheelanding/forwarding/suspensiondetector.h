#pragma once

#include <chrono>

namespace lycheelanding::forwarding {

/// Notices that the VM stood still: the time since its boot has passed without the steady clock.
class SuspensionDetector
{
public:
    SuspensionDetector();

    /// True once for each time that the VM stood still.
    bool hasBeenSuspended();

private:
    std::chrono::nanoseconds m_suspendedTime;
};

} // namespace lycheelanding::forwarding

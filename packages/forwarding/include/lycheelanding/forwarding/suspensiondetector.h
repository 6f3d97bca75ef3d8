#pragma once

#include <chrono>

namespace lycheelanding::forwarding {

/// Detects that the VM was suspended: the boot-time clock advances during a suspension, the monotonic clock does not.
class SuspensionDetector
{
public:
    SuspensionDetector();

    /// Whether the VM was suspended since the last call (or the construction).
    bool hasBeenSuspended();

private:
    /// Boot-time clock minus monotonic clock at the last check.
    std::chrono::nanoseconds m_suspendedTime;
};

} // namespace lycheelanding::forwarding

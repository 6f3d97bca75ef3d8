#pragma once

#include "lycheelanding/core/clock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace lycheelanding::rankgroups {

/// The sending direction of a VM's link: messages wait in one queue, which drains at a fixed rate.
class SimulatedLink
{
public:
    explicit SimulatedLink(double megabitsPerSecond) : m_bytesPerMillisecond(megabitsPerSecond * bytesPerMegabitMs) { }

    /// Time at which the last byte of the message has left the queue.
    core::TimePoint send(std::size_t bytes, core::TimePoint now)
    {
        m_freeAt = std::max(m_freeAt, now) + timeFor(bytes);
        return m_freeAt;
    }

    /// Time that a message sent now waits in the queue.
    core::Duration delayAt(core::TimePoint now) const
    {
        return std::max(core::Duration(m_freeAt - now), core::Duration::zero());
    }

    core::Duration timeFor(std::size_t bytes) const
    {
        return std::chrono::duration_cast<core::Duration>(
            std::chrono::duration<double, std::milli>(static_cast<double>(bytes) / m_bytesPerMillisecond));
    }

private:
    /// Bytes per millisecond at 1 Mbit/s.
    static constexpr double bytesPerMegabitMs = 125.0;

    const double m_bytesPerMillisecond;
    core::TimePoint m_freeAt;
};

} // namespace lycheelanding::rankgroups

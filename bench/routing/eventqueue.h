#pragma once

#include "lycheelanding/core/clock.h"

#include <functional>
#include <queue>
#include <vector>

/// Simulations in virtual time that measure the routing, admission and retry decisions.
namespace lycheelanding::bench::routing {

/// Event queue in virtual time. Events of the same time run in the order in which they were scheduled.
class EventQueue
{
public:
    using Action = std::function<void()>;

    core::TimePoint now() const { return m_now; }

    void scheduleAt(core::TimePoint time, Action action)
    {
        m_events.push({std::max(time, m_now), m_nextSequenceNumber++, std::move(action)});
    }
    void scheduleAfter(core::Duration delay, Action action) { scheduleAt(m_now + delay, std::move(action)); }

    void runUntil(core::TimePoint end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            // top() is const; moving from it is safe, as the event is removed right away.
            Event event = std::move(const_cast<Event &>(m_events.top()));
            m_events.pop();
            m_now = event.time;
            event.action();
        }
        m_now = end;
    }

private:
    struct Event
    {
        core::TimePoint time;
        std::uint64_t sequenceNumber = 0;
        Action action;

        /// priority_queue returns the greatest element first, so an earlier event compares greater.
        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : sequenceNumber > other.sequenceNumber;
        }
    };

    core::TimePoint m_now = core::TimePoint(std::chrono::hours(1));
    std::uint64_t m_nextSequenceNumber = 0;
    std::priority_queue<Event> m_events;
};

} // namespace lycheelanding::bench::routing

#pragma once

#include "lycheelanding/core/clock.h"

#include <functional>
#include <queue>
#include <vector>

/// Measurement of the routing, admission and retry decisions in virtual time.
namespace lycheelanding::bench::routing {

/// Events in virtual time; those of the same instant run in the order in which they were added.
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
            // The queue only gives const access to its top, which is removed right away.
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

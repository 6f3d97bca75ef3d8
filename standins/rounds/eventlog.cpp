#include "rounds/eventlog.h"

#include <algorithm>

namespace lycheelanding::rounds {

namespace {

constexpr std::size_t eventsWithViolation = 12;

} // namespace

void EventLog::record(const std::string &event)
{
    const std::scoped_lock lock(m_mutex);
    m_events.push_back(withTime(event));
}

void EventLog::recordViolation(const std::string &violation)
{
    const std::scoped_lock lock(m_mutex);
    auto text = "seed " + std::to_string(m_seed) + ", " + withTime(violation) + "; last events:";
    const auto count = std::min(m_events.size(), eventsWithViolation);
    for (auto index = m_events.size() - count; index < m_events.size(); ++index) {
        text += "\n      " + m_events[index];
    }
    m_violations.push_back(std::move(text));
}

std::vector<std::string> EventLog::violations() const
{
    const std::scoped_lock lock(m_mutex);
    return m_violations;
}

std::string EventLog::withTime(const std::string &text) const
{
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_begin);
    return std::to_string(time.count()) + " ms " + text;
}

} // namespace lycheelanding::rounds

#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace lycheelanding::rounds {

/// The events of a round in the order in which they happened, and the violations, each with the seed and the events
/// before it. All members are thread-safe.
class EventLog
{
public:
    explicit EventLog(std::uint64_t seed) : m_seed(seed) { }

    void record(const std::string &event);
    void recordViolation(const std::string &violation);
    std::vector<std::string> violations() const;

private:
    /// "1234 ms TEXT", the time since the construction.
    std::string withTime(const std::string &text) const;

    const std::uint64_t m_seed;
    const std::chrono::steady_clock::time_point m_begin = std::chrono::steady_clock::now();
    mutable std::mutex m_mutex;
    std::vector<std::string> m_events;
    std::vector<std::string> m_violations;
};

} // namespace lycheelanding::rounds

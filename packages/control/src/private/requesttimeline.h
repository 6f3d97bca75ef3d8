#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lycheelanding::control {

/// One line of the processes' event logs.
struct LogEvent
{
    /// Milliseconds since 1970, by the clock of the process's VM.
    std::int64_t time = 0;
    std::string process;
    std::string name;
    /// What else the line says, in its order.
    nlohmann::ordered_json fields;
};

/// The lines that name the request, and those of the time from its arrival to its end that tell why it may have gone as
/// it did: of backend servers that it was sent to, of map switches, dependencies and VMs that stood still. In the order
/// of time. Logs hold one JSON object a line, with anything before it.
std::vector<LogEvent> requestTimeline(std::string_view request, const std::vector<std::string> &logs);

/// One line each, with the time since the first.
std::string timelineText(const std::vector<LogEvent> &timeline);
nlohmann::ordered_json timelineJson(const std::vector<LogEvent> &timeline);

} // namespace lycheelanding::control

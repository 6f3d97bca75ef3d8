#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lycheelanding::control {

/// One line of a process's event log.
struct LogEvent
{
    /// Milliseconds since the Unix epoch (1970), by the clock of the process's VM.
    std::int64_t time = 0;
    std::string process;
    std::string name;
    /// The other fields, in the order of the line.
    nlohmann::ordered_json fields;
};

/// The events that name the request and those between its arrival and its end that may explain its outcome: events of
/// the backend servers that it was sent to, of map switches, of dependencies and of suspended VMs. Sorted by time. Each
/// log holds one JSON object a line, which other text may precede. Empty when no event names the request.
std::vector<LogEvent> requestTimeline(std::string_view request, const std::vector<std::string> &logs);

/// One line for each event, with the milliseconds since the first one.
std::string timelineText(const std::vector<LogEvent> &timeline);
nlohmann::ordered_json timelineJson(const std::vector<LogEvent> &timeline);

} // namespace lycheelanding::control

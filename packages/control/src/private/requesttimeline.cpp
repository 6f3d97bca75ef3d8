#include "private/requesttimeline.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <optional>
#include <set>

namespace lycheelanding::control {

namespace {

using Json = nlohmann::ordered_json;

/// Events that can affect every request in progress.
constexpr std::array<std::string_view, 12> generalEvents{
    "mapSwitchBegun", "mapSwitchWithdrawn",     "commandRepeated",   "leading",
    "leadershipLost", "engineSilent",           "resumed",           "storeLost",
    "draining",       "configurationInstalled", "dataCentreEmptied", "dataCentreTakenBack"};

std::string textOf(const Json &fields, const char *name)
{
    const auto found = fields.find(name);
    return found != fields.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::int64_t numberOf(const Json &fields, const char *name)
{
    const auto found = fields.find(name);
    return found != fields.end() && found->is_number_integer() ? found->get<std::int64_t>() : 0;
}

std::optional<LogEvent> parseLogLine(std::string_view text)
{
    const auto begin = text.find('{');
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    Json json = Json::parse(text.substr(begin), nullptr, false);
    if (!json.is_object() || textOf(json, "event").empty()) {
        return std::nullopt;
    }
    LogEvent event{numberOf(json, "time"), textOf(json, "process"), textOf(json, "event"), {}};
    for (const auto *name : {"time", "process", "event"}) {
        json.erase(name);
    }
    event.fields = std::move(json);
    return event;
}

std::vector<LogEvent> parseLogs(const std::vector<std::string> &logs)
{
    std::vector<LogEvent> events;
    for (std::string_view log : logs) {
        while (!log.empty()) {
            const auto end = std::min(log.find('\n'), log.size());
            if (auto event = parseLogLine(log.substr(0, end))) {
                events.push_back(std::move(*event));
            }
            log.remove_prefix(std::min(end + 1, log.size()));
        }
    }
    std::stable_sort(events.begin(), events.end(),
                     [](const LogEvent &left, const LogEvent &right) { return left.time < right.time; });
    return events;
}

/// Start and end of a request, and the backend servers that it was sent to.
struct RequestInterval
{
    std::int64_t begin = 0;
    std::int64_t end = 0;
    std::set<std::string> backends;
};

RequestInterval intervalOf(const std::vector<LogEvent> &requestEvents)
{
    RequestInterval interval{requestEvents.front().time, requestEvents.back().time, {}};
    for (const auto &event : requestEvents) {
        // Events are logged when an operation ends; "ms" is its duration.
        interval.begin = std::min(interval.begin, event.time - numberOf(event.fields, "ms"));
        if (const auto backend = textOf(event.fields, "backend"); !backend.empty()) {
            interval.backends.insert(backend);
        }
    }
    return interval;
}

bool isContext(const LogEvent &event, const RequestInterval &interval)
{
    if (event.time < interval.begin || event.time > interval.end) {
        return false;
    }
    if (event.fields.contains("request")) {
        return false;
    }
    const bool isGeneral = std::find(generalEvents.begin(), generalEvents.end(), event.name) != generalEvents.end();
    return isGeneral || interval.backends.contains(textOf(event.fields, "backend"));
}

} // namespace

std::vector<LogEvent> requestTimeline(std::string_view request, const std::vector<std::string> &logs)
{
    const auto events = parseLogs(logs);
    std::vector<LogEvent> requestEvents;
    std::copy_if(events.begin(), events.end(), std::back_inserter(requestEvents),
                 [request](const LogEvent &event) { return textOf(event.fields, "request") == request; });
    if (requestEvents.empty()) {
        return {};
    }
    const auto interval = intervalOf(requestEvents);
    std::vector<LogEvent> timeline;
    std::copy_if(events.begin(), events.end(), std::back_inserter(timeline), [&](const LogEvent &event) {
        return textOf(event.fields, "request") == request || isContext(event, interval);
    });
    return timeline;
}

std::string timelineText(const std::vector<LogEvent> &timeline)
{
    std::string text;
    for (const auto &event : timeline) {
        text += fmt::format("{:>+7} ms  {}  {}", event.time - timeline.front().time, event.process, event.name);
        for (const auto &[name, value] : event.fields.items()) {
            text += fmt::format("  {}={}", name, value.is_string() ? value.get<std::string>() : value.dump());
        }
        text += "\n";
    }
    return text;
}

nlohmann::ordered_json timelineJson(const std::vector<LogEvent> &timeline)
{
    Json result = Json::array();
    for (const auto &event : timeline) {
        Json row{{"time", event.time}, {"process", event.process}, {"event", event.name}};
        row.update(event.fields);
        result.push_back(std::move(row));
    }
    return result;
}

} // namespace lycheelanding::control

#include "private/requeststory.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <optional>
#include <set>

namespace lycheelanding::control {

namespace {

using Json = nlohmann::ordered_json;

/// Events that may explain any request that they fall into.
constexpr std::array<std::string_view, 10> generalEvents{
    "mapSwitchBegun", "mapSwitchWithdrawn",    "commandRepeated", "leading",
    "leadershipLost", "engineSilent",          "resumed",         "storeLost",
    "draining",       "configurationInstalled"};

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

std::optional<StoryLine> storyLineFrom(std::string_view text)
{
    const auto begin = text.find('{');
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    Json json = Json::parse(text.substr(begin), nullptr, false);
    if (!json.is_object() || textOf(json, "event").empty()) {
        return std::nullopt;
    }
    StoryLine line{numberOf(json, "time"), textOf(json, "process"), textOf(json, "event"), {}};
    for (const auto *name : {"time", "process", "event"}) {
        json.erase(name);
    }
    line.fields = std::move(json);
    return line;
}

std::vector<StoryLine> linesOf(const std::vector<std::string> &logs)
{
    std::vector<StoryLine> lines;
    for (std::string_view log : logs) {
        while (!log.empty()) {
            const auto end = std::min(log.find('\n'), log.size());
            if (auto line = storyLineFrom(log.substr(0, end))) {
                lines.push_back(std::move(*line));
            }
            log.remove_prefix(std::min(end + 1, log.size()));
        }
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const StoryLine &left, const StoryLine &right) { return left.time < right.time; });
    return lines;
}

/// What is known of the request before its surroundings are looked at.
struct RequestSpan
{
    std::int64_t begin = 0;
    std::int64_t end = 0;
    std::set<std::string> backends;
};

RequestSpan spanOf(const std::vector<StoryLine> &own)
{
    RequestSpan span{own.front().time, own.back().time, {}};
    for (const auto &line : own) {
        // Lines are written when something ends: "ms" tells for how long it took.
        span.begin = std::min(span.begin, line.time - numberOf(line.fields, "ms"));
        if (const auto backend = textOf(line.fields, "backend"); !backend.empty()) {
            span.backends.insert(backend);
        }
    }
    return span;
}

bool isContext(const StoryLine &line, const RequestSpan &span)
{
    if (line.time < span.begin || line.time > span.end) {
        return false;
    }
    if (line.fields.contains("request")) {
        return false;
    }
    const bool isGeneral = std::find(generalEvents.begin(), generalEvents.end(), line.event) != generalEvents.end();
    return isGeneral || span.backends.contains(textOf(line.fields, "backend"));
}

} // namespace

std::vector<StoryLine> requestStory(std::string_view request, const std::vector<std::string> &logs)
{
    const auto lines = linesOf(logs);
    std::vector<StoryLine> own;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(own),
                 [request](const StoryLine &line) { return textOf(line.fields, "request") == request; });
    if (own.empty()) {
        return {};
    }
    const auto span = spanOf(own);
    std::vector<StoryLine> story;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(story), [&](const StoryLine &line) {
        return textOf(line.fields, "request") == request || isContext(line, span);
    });
    return story;
}

std::string storyText(const std::vector<StoryLine> &story)
{
    std::string text;
    for (const auto &line : story) {
        text += fmt::format("{:>+7} ms  {}  {}", line.time - story.front().time, line.process, line.event);
        for (const auto &[name, value] : line.fields.items()) {
            text += fmt::format("  {}={}", name, value.is_string() ? value.get<std::string>() : value.dump());
        }
        text += "\n";
    }
    return text;
}

nlohmann::ordered_json storyJson(const std::vector<StoryLine> &story)
{
    Json result = Json::array();
    for (const auto &line : story) {
        Json row{{"time", line.time}, {"process", line.process}, {"event", line.event}};
        row.update(line.fields);
        result.push_back(std::move(row));
    }
    return result;
}

} // namespace lycheelanding::control

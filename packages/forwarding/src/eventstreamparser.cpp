#include "lycheelanding/forwarding/eventstreamparser.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace lycheelanding::forwarding {

namespace {

/// Position after the first event of the text and its empty line; npos while it is incomplete.
std::size_t endOfEvent(std::string_view text)
{
    for (auto at = text.find('\n'); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        const auto next = text.substr(at + 1);
        if (next.starts_with('\n')) {
            return at + 2;
        }
        if (next.starts_with("\r\n")) {
            return at + 3;
        }
    }
    return std::string_view::npos;
}

std::optional<std::uint64_t> idOf(std::string_view event)
{
    constexpr std::string_view field = "id:";
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size());
        auto line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(field)) {
            continue;
        }
        line.remove_prefix(field.size());
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::uint64_t id = 0;
        const auto [last, error] = std::from_chars(line.data(), line.data() + line.size(), id);
        const bool isNumber = error == std::errc() && (last == line.data() + line.size() || *last == '\r');
        return isNumber ? std::optional(id) : std::nullopt;
    }
    return std::nullopt;
}

} // namespace

std::string EventStreamParser::parse(std::string_view bytes)
{
    m_partial.append(bytes);
    std::string events;
    std::string_view rest = m_partial;
    for (auto end = endOfEvent(rest); end != std::string_view::npos; end = endOfEvent(rest)) {
        const auto event = rest.substr(0, end);
        rest.remove_prefix(end);
        const auto id = idOf(event);
        if (id && m_lastId && *id <= *m_lastId) {
            continue;
        }
        events.append(event);
        m_lastId = id ? id : m_lastId;
    }
    m_partial.erase(0, m_partial.size() - rest.size());
    return events;
}

std::string EventStreamParser::flush()
{
    return std::exchange(m_partial, {});
}

} // namespace lycheelanding::forwarding

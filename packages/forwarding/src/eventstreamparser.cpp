#include "lycheelanding/forwarding/eventstreamparser.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace lycheelanding::forwarding {

namespace {

std::optional<std::uint64_t> idOf(std::string_view event)
{
    constexpr std::string_view field = "id:";
    while (!event.empty()) {
        const auto end = std::min(event.find_first_of("\r\n"), event.size());
        auto line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(field)) {
            continue;
        }
        line.remove_prefix(field.size());
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::uint64_t id = 0;
        const auto [last, error] = std::from_chars(line.data(), line.data() + line.size(), id);
        const bool isNumber = error == std::errc() && last == line.data() + line.size();
        return isNumber ? std::optional(id) : std::nullopt;
    }
    return std::nullopt;
}

} // namespace

std::string EventStreamParser::parse(std::string_view bytes)
{
    std::string events;
    while (const auto size = m_scanner.findEventEnd(bytes)) {
        m_partial.append(bytes.substr(0, *size));
        bytes.remove_prefix(*size);
        ++m_eventCount;
        const auto id = idOf(m_partial);
        const bool isRepeated = id && m_lastId && *id <= *m_lastId;
        m_bytesSinceNewEvent += m_partial.size();
        if (!isRepeated) {
            events.append(m_partial);
            m_lastId = id ? id : m_lastId;
        }
        if (!isRepeated && m_scanner.hasEndedEvent()) {
            ++m_newEventCount;
            m_bytesSinceNewEvent = 0;
        }
        m_partial.clear();
    }
    m_partial.append(bytes);
    return events;
}

std::string EventStreamParser::flush()
{
    return std::exchange(m_partial, {});
}

void EventStreamParser::restart()
{
    m_partial.clear();
    m_eventCount = 0;
    m_scanner = http::EventStreamScanner();
}

} // namespace lycheelanding::forwarding

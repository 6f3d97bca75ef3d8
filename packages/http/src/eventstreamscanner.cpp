#include "lycheelanding/http/eventstreamscanner.h"

#include <string>
#include <utility>

namespace lycheelanding::http {

bool isEventStream(const HttpHeaders &headers)
{
    constexpr std::string_view eventStream = "text/event-stream";
    const auto type = headers.find("Content-Type").value_or(std::string());
    // Media types, like names of headers, are compared without case.
    return isSameHeaderName(std::string_view(type).substr(0, eventStream.size()), eventStream);
}

std::optional<std::size_t> EventStreamScanner::findEventEnd(std::string_view bytes)
{
    for (std::size_t index = 0; index < bytes.size(); ++index) {
        const char byte = bytes[index];
        const bool isAfterCarriageReturn = std::exchange(m_isAfterCarriageReturn, byte == '\r');
        if (isAfterCarriageReturn && byte == '\n') {
            continue;
        }
        if (byte != '\r' && byte != '\n') {
            m_isComment = m_isInsideLine ? m_isComment : byte == ':';
            m_isInsideLine = true;
            continue;
        }
        if (m_isInsideLine) {
            endLine();
            continue;
        }
        m_hasEndedEvent = std::exchange(m_hasField, false);
        m_hasSeenEvent = m_hasSeenEvent || m_hasEndedEvent;
        // The line feed of the empty line belongs to the event, if it is there already.
        const bool hasLineFeed = byte == '\r' && index + 1 < bytes.size() && bytes[index + 1] == '\n';
        m_isAfterCarriageReturn = byte == '\r' && !hasLineFeed;
        return index + (hasLineFeed ? 2 : 1);
    }
    return std::nullopt;
}

void EventStreamScanner::endLine()
{
    m_hasField = m_hasField || !m_isComment;
    m_isInsideLine = false;
    m_isComment = false;
}

} // namespace lycheelanding::http

#pragma once

#include "lycheelanding/http/httpmessages.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace lycheelanding::http {

/// Whether an answer's body is an event stream (text/event-stream).
bool isEventStream(const HttpHeaders &headers);

/// Finds the ends of the events in the bytes of an event stream, which arrive in pieces of any size. Lines end with
/// CR, LF or both; an event ends with an empty line.
class EventStreamScanner
{
public:
    /// Consumes bytes up to the next end of an event. Returns their number; nullopt if all bytes were consumed and no
    /// event ended in them.
    std::optional<std::size_t> findEventEnd(std::string_view bytes);

    /// Whether the bytes so far end inside an event or inside a line. Whole comment lines belong to no event.
    bool isInsideEvent() const { return m_isInsideLine || m_hasField; }
    /// Whether the last end of an event was that of one with a field; comments alone have none.
    bool hasEndedEvent() const { return m_hasEndedEvent; }
    /// Whether an event with a field has ended so far.
    bool hasSeenEvent() const { return m_hasSeenEvent; }

private:
    void endLine();

    bool m_isInsideLine = false;
    bool m_isComment = false;
    bool m_hasField = false;
    bool m_hasEndedEvent = false;
    bool m_hasSeenEvent = false;
    /// The last byte was a carriage return, which ends a line together with a line feed that follows it.
    bool m_isAfterCarriageReturn = false;
};

} // namespace lycheelanding::http

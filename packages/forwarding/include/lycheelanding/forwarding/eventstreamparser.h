#pragma once

#include "lycheelanding/http/eventstreamscanner.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheelanding::forwarding {

/// Splits the bytes of an event stream (text/event-stream) into complete events, so that another backend server can
/// resume the stream after the last one without a missing or duplicate event.
class EventStreamParser
{
public:
    /// Consumes bytes from the backend server; returns the events that are complete now, without those up to lastId().
    std::string parse(std::string_view bytes);
    /// Returns the remaining bytes after the regular end of the stream.
    std::string flush();
    /// Discards an incomplete event, because another backend server resumes the stream.
    void restart();

    /// Complete events since the start or the last restart(), repeated ones included.
    std::size_t eventCount() const { return m_eventCount; }
    /// Complete events that were returned for the first time. Comments alone are no event.
    std::size_t newEventCount() const { return m_newEventCount; }
    /// Bytes of repeated events and of comments since the last new event.
    std::size_t bytesSinceNewEvent() const { return m_bytesSinceNewEvent; }
    /// Id of the last returned event that had one; nullopt if there was none.
    const std::optional<std::uint64_t> &lastId() const { return m_lastId; }

private:
    http::EventStreamScanner m_scanner;
    std::string m_partial;
    std::size_t m_eventCount = 0;
    std::size_t m_newEventCount = 0;
    std::size_t m_bytesSinceNewEvent = 0;
    std::optional<std::uint64_t> m_lastId;
};

} // namespace lycheelanding::forwarding

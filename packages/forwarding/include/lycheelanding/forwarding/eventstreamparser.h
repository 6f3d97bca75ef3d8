#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheelanding::forwarding {

/// Cuts the bytes of an event stream (text/event-stream) into whole events, so that another backend server can go on
/// after the last one: nothing is missing then and nothing comes twice.
class EventStreamParser
{
public:
    /// Bytes from the backend server; gives those of the events that are whole now, without events up to lastId().
    std::string parse(std::string_view bytes);
    /// The rest when the stream ends as it should.
    std::string flush();
    /// Another backend server goes on: what is left of an event that is not whole is forgotten.
    void restart() { m_partial.clear(); }

    /// Id of the last event that was given out; nothing while none had one.
    const std::optional<std::uint64_t> &lastId() const { return m_lastId; }

private:
    std::string m_partial;
    std::optional<std::uint64_t> m_lastId;
};

} // namespace lycheelanding::forwarding

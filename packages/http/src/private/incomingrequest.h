#pragma once

#include "lycheelanding/http/callermemory.h"
#include "lycheelanding/http/httpmessages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace lycheelanding::http {

/// A request that is being received, and the memory drawn for it.
class IncomingRequest
{
public:
    enum class Reservation : std::uint8_t {
        Granted,
        /// `onDrawn` is called when the memory has been drawn.
        Waiting,
        /// Too many connections wait already.
        Refused,
    };

    /// Draws what the next read may add. `headBytes` is the size of the fields so far, `pendingBytes` that of received
    /// bytes that are not parsed yet.
    Reservation reserve(std::size_t headBytes, std::size_t pendingBytes, std::function<void()> onDrawn);
    void setHold(MemoryHold hold) { m_memory = std::move(hold); }
    bool hasHold() const { return m_memory.isSet(); }
    void progressed(std::size_t bytes) { m_memory.progressed(bytes); }

    /// `announcedBytes` is unset for a chunked body.
    void setHead(std::string method, std::string target, HttpHeaders headers,
                 std::optional<std::uint64_t> announcedBytes);
    /// `maxBodyBytes` is the limit on the body; 0 for none.
    void append(std::string_view bytes, std::size_t maxBodyBytes);
    const HttpRequest &request() const { return m_request; }

    HttpRequest takeRequest();
    /// The memory of the request, which is no longer closed to free memory.
    MemoryHold takeHold();
    void clear();

private:
    std::size_t neededBytes(std::size_t headBytes, std::size_t pendingBytes) const;

    HttpRequest m_request;
    std::optional<std::uint64_t> m_announcedBytes;
    MemoryHold m_memory;
};

} // namespace lycheelanding::http

#pragma once

#include "faultproxy/proxymode.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lycheelanding::standins::faultproxy {

/// Forwards the bytes of one direction of a connection in order, applying the fault of the proxy's setting.
class Forwarder
{
public:
    using Socket = asio::ip::tcp::socket;

    Forwarder(Direction direction, Socket &source, Socket &destination, const ProxySetting &setting);

    /// Calls `onEnd` after the source has ended and all its data is forwarded, and `onFailure` when the connection has
    /// to be closed.
    void start(const std::weak_ptr<void> &owner, std::function<void()> onEnd, std::function<void()> onFailure);
    /// Applies a changed setting: forwards buffered data that it allows.
    void applySetting();
    /// Stops forwarding and releases the callbacks.
    void stop();

private:
    struct Chunk
    {
        std::string bytes;
        /// When the chunk may be forwarded.
        std::chrono::steady_clock::time_point due;
    };

    void read();
    void finishRead(const asio::error_code &error, std::size_t size);
    void forward();
    void write();
    void finishWrite(const asio::error_code &error);
    /// Cuts the next chunk to the bytes left until truncation; true when the connection closes after it.
    bool truncateNextChunk();
    void finishDirection();

    const Direction m_direction;
    Socket &m_source;
    Socket &m_destination;
    const ProxySetting &m_setting;
    /// Locked by the operations in progress to keep the connection alive.
    std::weak_ptr<void> m_owner;
    std::function<void()> m_onEnd;
    std::function<void()> m_onFailure;
    asio::steady_timer m_timer;
    std::array<char, 16384> m_buffer{};
    std::deque<Chunk> m_chunks;
    std::size_t m_bufferedBytes = 0;
    bool m_stopped = false;
    bool m_reading = false;
    bool m_writing = false;
    bool m_timerPending = false;
    bool m_sourceEnded = false;
    bool m_closesAfterWrite = false;
    std::optional<std::uint64_t> m_bytesUntilTruncation;
};

} // namespace lycheelanding::standins::faultproxy

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

/// Forwards the bytes of one direction of a connection, in order, as the proxy's setting says.
class Forwarder
{
public:
    using Socket = asio::ip::tcp::socket;
    /// Keeps the connection alive while an operation of the pump is in progress.
    using Owner = std::shared_ptr<void>;

    /// `onFailure` closes the connection; `onEnd` is called when the direction has ended in order.
    Forwarder(Direction direction, Socket &source, Socket &destination, const ProxySetting &setting);

    void start(const std::weak_ptr<void> &owner, std::function<void()> onEnd, std::function<void()> onFailure);
    /// Forwards what the setting now allows.
    void applySetting();
    /// Forwards nothing more and drops the handlers.
    void stop();

private:
    struct Chunk
    {
        std::string bytes;
        std::chrono::steady_clock::time_point due;
    };

    void read();
    void finishRead(const asio::error_code &error, std::size_t size);
    void forward();
    void write();
    void finishWrite(const asio::error_code &error);
    /// Cuts the next piece to what may still pass; true when the connection ends with it.
    bool truncateNextChunk();
    void finishDirection();

    const Direction m_direction;
    Socket &m_source;
    Socket &m_destination;
    const ProxySetting &m_setting;
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
    bool m_endsAfterWrite = false;
    std::optional<std::uint64_t> m_bytesUntilTruncation;
};

} // namespace lycheelanding::standins::faultproxy

#pragma once

#include "lycheelanding/wire/framecodec.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace lycheelanding::wire {

class PeerConnection;
using PeerConnectionPointer = std::shared_ptr<PeerConnection>;

/// Callbacks of a connection. All run on the connection's strand; onClosed is the last one.
struct PeerHandlers
{
    std::function<void(const PeerConnectionPointer &)> onOpened;
    std::function<void(const PeerConnectionPointer &, const Frame &)> onFrame;
    std::function<void(const PeerConnectionPointer &, const core::Error &)> onClosed;
};

/// One TCP connection between two processes of the system. Its members may be called from any thread.
class PeerConnection : public std::enable_shared_from_this<PeerConnection>
{
public:
    /// Maximum size of the frames waiting to be sent; a peer that reads too slowly to stay below it is disconnected.
    static constexpr std::size_t maxUnsentBytes = std::size_t{16} * 1024 * 1024;

    /// Connects to `endpoint`; calls onClosed with PeerUnreachable if that fails or takes longer than `timeout`.
    static PeerConnectionPointer connect(asio::io_context &context, const asio::ip::tcp::endpoint &endpoint,
                                         std::chrono::milliseconds timeout, PeerHandlers handlers);
    /// Creates a connection from an accepted socket.
    static PeerConnectionPointer adopt(asio::io_context &context, asio::ip::tcp::socket socket, PeerHandlers handlers);

    PeerConnection(asio::io_context &context, asio::ip::tcp::socket socket, PeerHandlers handlers);

    void send(Frame frame);
    /// Closes once all frames sent before have been written; then calls onClosed.
    void close();
    /// Closes immediately, discards unsent frames and calls onClosed with `error`.
    void abort(const core::Error &error);
    /// Sends a Goodbye with `error`, then closes.
    void closeWith(const core::Error &error);

    bool isOpen() const { return m_isOpen.load(); }
    /// True once a write to the socket has started: from then on the peer may receive a frame.
    bool hasSentBytes() const { return m_hasSentBytes.load(); }
    std::uint64_t bytesSent() const { return m_bytesSent.load(); }

private:
    void startReading();
    void readHeader();
    void readPayload(const FrameHeader &header);
    void writeNext();
    void handleFrame();
    void fail(const core::Error &error);

    asio::strand<asio::io_context::executor_type> m_strand;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_connectTimer;
    PeerHandlers m_handlers;
    std::atomic<bool> m_isOpen = false;
    std::atomic<bool> m_hasSentBytes = false;
    std::atomic<std::uint64_t> m_bytesSent = 0;
    // The members below are accessed only on the strand.
    bool m_isClosed = false;
    bool m_isWriting = false;
    bool m_shouldCloseWhenSent = false;
    std::size_t m_unsentBytes = 0;
    std::deque<std::string> m_unsent;
    FrameHeaderBytes m_headerBytes{};
    Frame m_incoming;
};

/// Accepts connections of peers on one address.
class PeerListener
{
public:
    /// Creates the handlers of one accepted connection.
    using HandlerFactory = std::function<PeerHandlers()>;

    PeerListener(asio::io_context &context, HandlerFactory makeHandlers);

    /// Fails with InvalidSettings when the address cannot be bound.
    core::Status start(const asio::ip::tcp::endpoint &endpoint);
    void stop();
    std::uint16_t port() const;

private:
    void acceptNext();

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    HandlerFactory m_makeHandlers;
};

/// Parses "IP:PORT". Fails with InvalidSettings.
core::Result<asio::ip::tcp::endpoint> endpointFrom(const std::string &address);

} // namespace lycheelanding::wire

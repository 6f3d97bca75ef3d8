#pragma once

#include "lycheelanding/core/errorkind.h"
#include "lycheelanding/http/httpserver.h"
#include "private/incomingrequest.h"
#include "private/messageparser.h"
#include "private/serverconnections.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/strand.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace lycheelanding::http {

using ConnectionsPointer = std::shared_ptr<ServerConnections>;

/// State of the answer to one request, shared by its exchange and its connection. Used on the connection's strand only,
/// except for the atomic members.
struct ServerAnswer
{
    enum class Framing : std::uint8_t {
        Chunked,
        ContentLength,
        /// The body ends when the connection closes; for HTTP/1.0 callers.
        UntilClose,
    };

    bool isHeadRequest = false;
    bool isHttp10 = false;
    bool isKeepAlive = true;
    bool hasBegun = false;
    bool hasEnded = false;
    bool isAborted = false;
    bool isCallerGone = false;
    Framing framing = Framing::Chunked;
    /// With Framing::ContentLength: body bytes that are still to be sent.
    std::uint64_t remainingBytes = 0;
    std::function<void()> onCallerGone;
    std::atomic<std::size_t> unsentBytes = 0;
};
using ServerAnswerPointer = std::shared_ptr<ServerAnswer>;

/// A caller's connection. Reads requests, at most one ahead of the answer in progress, and writes the answers in order.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(asio::ip::tcp::socket socket, ConnectionsPointer connections);
    ~ServerConnection();
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    void start();
    /// Runs `handler` on the connection's strand, never before post() returns.
    template <typename Handler>
    void post(Handler handler)
    {
        asio::post(m_strand, std::move(handler));
    }

    // The members below must be called on the strand.
    void respond(const ServerAnswerPointer &answer, HttpResponse response);
    void begin(const ServerAnswerPointer &answer, int status, const HttpHeaders &headers,
               std::optional<std::uint64_t> bodyBytes);
    void write(const ServerAnswerPointer &answer, std::string bytes);
    void finish(const ServerAnswerPointer &answer);
    void abort(const ServerAnswerPointer &answer);
    void setCallerGoneHandler(const ServerAnswerPointer &answer, std::function<void()> handler);
    /// Closes the connection when a timeout has passed.
    void checkTimeouts();
    void closeIfIdle();
    /// Closes the connection if it has been inactive for long enough.
    void closeIfInactive();
    void close();

    /// Since when the connection may be closed so that another can be accepted; unset if it may not. It may when it
    /// has received no bytes without an answer in progress, or its caller has accepted no bytes of an answer. May be
    /// called on any thread.
    std::optional<std::chrono::steady_clock::time_point> inactiveSince() const;

    bool hasMemoryAccount() const { return m_connections->settings().memory != nullptr; }

    // MessageSink
    bool onHead(ParsedHead head);
    void onBody(std::string_view bytes);
    void onMessageEnd();

private:
    struct Output
    {
        std::string bytes;
        ServerAnswerPointer answer;
        std::size_t bodyBytes = 0;
        bool endsAnswer = false;
        /// What was drawn for it from the account.
        std::size_t drawnBytes = 0;
    };

    /// A complete request whose exchange has not begun.
    struct ReceivedRequest
    {
        HttpRequest request;
        ServerAnswerPointer answer;
        MemoryHold memory;
    };

    using TimePoint = std::chrono::steady_clock::time_point;

    bool isWaitingForMemory() const { return m_selfWhileWaiting != nullptr; }
    bool isCurrent(const ServerAnswerPointer &answer) const;
    void read();
    /// Draws the memory for the next read; false if the connection waits for it or was refused.
    bool reserveMemory();
    void onMemoryDrawn();
    void refuseForMemory();
    MemoryHold newHold(void (ServerConnection::*onClose)());
    void closeIncomingForMemory();
    void recordActivity();
    void onRead(const asio::error_code &error, std::size_t size);
    void parsePending();
    void refuse(core::ErrorKind kind);
    void startNextRequest();
    void send(Output output);
    void writeNext();
    void onWritten(const asio::error_code &error);
    void endAnswer(const ServerAnswerPointer &answer);
    void startLingeringClose();
    void handleCallerGone();

    asio::ip::tcp::socket m_socket;
    asio::strand<asio::io_context::executor_type> m_strand;
    const ConnectionsPointer m_connections;
    MessageParser<ServerConnection> m_parser;
    std::array<char, 4096> m_buffer{};
    /// Received bytes that have not been parsed yet.
    std::string m_pending;
    IncomingRequest m_incoming;
    std::deque<ReceivedRequest> m_requests;
    ServerAnswerPointer m_current;
    std::deque<Output> m_output;
    MemoryHold m_outputMemory;
    bool m_isReading = false;
    /// Set while the connection waits for memory: no pending operation keeps it alive then.
    ServerConnectionPointer m_selfWhileWaiting;
    bool m_isWriting = false;
    bool m_isFlushPosted = false;
    bool m_isClosed = false;
    /// The connection closes after the pending output. No further request is parsed; received bytes are discarded until
    /// the caller closes its side.
    bool m_isClosing = false;
    TimePoint m_lastActivity = std::chrono::steady_clock::now();
    TimePoint m_lastRead = m_lastActivity;
    TimePoint m_waitStart;
    TimePoint m_writeStart;
    /// When the connection may be closed for others at the earliest; TimePoint::max() while an answer is awaited.
    std::atomic<TimePoint> m_closableFrom = TimePoint::max();
};

/// Keeps the request, the state of the answer and the connection of an exchange.
class HttpExchange::Private
{
public:
    Private(HttpRequest request, MemoryHold memory, ServerAnswerPointer answer, ServerConnectionPointer connection)
        : m_memory(std::move(memory)), m_request(std::move(request)), m_answer(std::move(answer)),
          m_connection(std::move(connection))
    { }

    const HttpRequest &request() const { return m_request; }
    const ServerAnswerPointer &answer() const { return m_answer; }
    const ServerConnectionPointer &connection() const { return m_connection; }

private:
    /// Released after the request, whose memory it accounts for.
    const MemoryHold m_memory;
    const HttpRequest m_request;
    const ServerAnswerPointer m_answer;
    const ServerConnectionPointer m_connection;
};

} // namespace lycheelanding::http

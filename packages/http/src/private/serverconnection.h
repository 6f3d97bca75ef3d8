#pragma once

#include "lycheelanding/core/errorkind.h"
#include "lycheelanding/http/httpserver.h"
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

/// One answer in progress, shared by its exchange and its connection; used on the connection's strand but for the
/// atomic members.
struct ServerAnswer
{
    enum class Framing : std::uint8_t {
        Chunked,
        ContentLength,
        /// Ends with the connection; for callers of HTTP/1.0.
        UntilClose,
    };

    bool isHeadRequest = false;
    bool isHttp10 = false;
    bool isKeepAlive = true;
    bool hasBegun = false;
    bool hasEnded = false;
    bool isCallerGone = false;
    Framing framing = Framing::Chunked;
    /// Body bytes still owed with Framing::Sized.
    std::uint64_t remainingBytes = 0;
    std::function<void()> onCallerGone;
    std::atomic<std::size_t> unsentBytes = 0;
};
using ServerAnswerPointer = std::shared_ptr<ServerAnswer>;

/// One connection of a caller: reads requests, one ahead of the answer in progress, and writes the answers in order.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(asio::ip::tcp::socket socket, ConnectionsPointer connections);
    ~ServerConnection();
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    void start();
    /// Runs `handler` on the connection's strand, never at once.
    template <typename Handler>
    void post(Handler handler)
    {
        asio::post(m_strand, std::move(handler));
    }

    // On the strand only.
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
    void close();

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
    };

    using TimePoint = std::chrono::steady_clock::time_point;

    bool isCurrent(const ServerAnswerPointer &answer) const;
    void read();
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
    /// Bytes that arrived behind the requests taken so far.
    std::string m_pending;
    HttpRequest m_incoming;
    std::deque<std::pair<HttpRequest, ServerAnswerPointer>> m_requests;
    ServerAnswerPointer m_current;
    std::deque<Output> m_output;
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_isFlushPosted = false;
    bool m_isClosed = false;
    /// No further request is read; what arrives is dropped until the caller ends the connection.
    bool m_isClosing = false;
    TimePoint m_lastActivity = std::chrono::steady_clock::now();
    TimePoint m_writeStart;
};

/// What HttpExchange holds.
class HttpExchange::Private
{
public:
    Private(HttpRequest request, ServerAnswerPointer answer, ServerConnectionPointer connection)
        : m_request(std::move(request)), m_answer(std::move(answer)), m_connection(std::move(connection))
    { }

    const HttpRequest &request() const { return m_request; }
    const ServerAnswerPointer &answer() const { return m_answer; }
    const ServerConnectionPointer &connection() const { return m_connection; }

private:
    const HttpRequest m_request;
    const ServerAnswerPointer m_answer;
    const ServerConnectionPointer m_connection;
};

} // namespace lycheelanding::http

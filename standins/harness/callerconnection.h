#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace lycheelanding::harness {

/// How an exchange on a caller's connection ended.
enum class ExchangeEnd : std::uint8_t {
    Answered,
    /// The connection was closed before the server had read all of the request.
    Unread,
    /// The server has read the request and closed the connection without an answer.
    NoAnswer,
    /// The connection was closed in the middle of the answer.
    CutOff,
    TimedOut,
};

std::string_view nameOf(ExchangeEnd end);

struct CallerAnswer
{
    ExchangeEnd end = ExchangeEnd::Unread;
    int status = 0;
    std::string body;
};

/// A caller's HTTP/1.1 connection, used for one request after another until one of the two ends closes it. Unlike
/// http::HttpClient, it never sends a request again and tells an unread request from an unanswered one.
class CallerConnection
{
public:
    /// `address` is IP:PORT. Throws asio::system_error when nothing listens there.
    explicit CallerConnection(const std::string &address);

    /// Whether the next request can be sent: the server has neither announced the close nor closed.
    bool isOpen();
    /// Sends a complete request and reads its answer, at most until the timeout.
    CallerAnswer exchange(const std::string &request, std::chrono::milliseconds timeout);

private:
    using Deadline = std::chrono::steady_clock::time_point;

    enum class ReadResult : std::uint8_t {
        Bytes,
        Closed,
        TimedOut,
    };

    ReadResult readMore(Deadline deadline);
    ReadResult readUntilContains(std::string_view text, std::size_t begin, std::size_t &position, Deadline deadline);
    ReadResult readBytes(std::size_t count, Deadline deadline);
    ReadResult readChunks(std::string &body, Deadline deadline);
    /// Whether the server has reset the connection. It does so on a close with unread bytes, and on bytes that arrive
    /// after the close.
    bool isReset();

    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
    /// Bytes received and not used yet.
    std::string m_received;
    bool m_isOpen = true;
    bool m_wasReset = false;
};

} // namespace lycheelanding::harness

#pragma once

#include "lycheelanding/core/result.h"
#include "lycheelanding/http/httpmessages.h"

#include <asio/any_io_executor.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace lycheelanding::http {

/// The head of an answer.
struct AnswerHead
{
    int status = 0;
    HttpHeaders headers;
    /// Unset for a body in chunks and for one that ends with its connection.
    std::optional<std::uint64_t> bodyBytes;
};

/// Called in the order head, body, end; a failure ends the answer at any point.
struct AnswerHandlers
{
    /// Whether the answer is to this request: others, such as a second answer to an earlier one, are skipped.
    std::function<bool(const AnswerHead &head)> matchesRequest;
    std::function<void(AnswerHead head)> onHead;
    std::function<void(std::string_view bytes)> onBody;
    /// The whole answer has come. The connection may take another request only if `isReusable`.
    std::function<void(bool isReusable)> onEnd;
    /// The connection was lost or broke the protocol; it is closed.
    std::function<void(const core::Error &error)> onFailed;
};

/// How soon a connection on which the peer's host has fallen silent counts as lost.
struct TcpLivenessSettings
{
    /// Bytes sent without an acknowledgement of the peer's host.
    std::chrono::milliseconds unacknowledgedTimeout = std::chrono::milliseconds(3000);
    /// Quiet time before the first probe, and time between two probes; in whole seconds.
    std::chrono::seconds probeInterval{1};
    int maxUnansweredProbes = 3;
};

/// A connection to a server that carries one request at a time. Never sends a request twice. All calls and handlers run
/// on the executor, of which no two handlers run at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    ClientConnection(asio::any_io_executor executor, asio::ip::tcp::endpoint peer,
                     const TcpLivenessSettings &limits = {});
    ~ClientConnection();
    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    /// Opens the connection; no byte has been sent when that fails with PeerUnreachable.
    void connect(std::chrono::milliseconds timeout, std::function<void(const core::Status &)> onConnected);
    /// Sends a request; the connection must be open and idle. From now on the request may have reached the server.
    void send(std::string request, bool isHeadRequest, AnswerHandlers handlers);
    /// Called once when the connection ends while it is idle.
    void onIdleEnd(std::function<void()> handler);
    /// Ends the connection; no handler is called any more.
    void close();

    const asio::ip::tcp::endpoint &peer() const;
    bool isOpen() const;
    /// Until when the server has promised to keep the idle connection, by its last answer.
    std::optional<std::chrono::steady_clock::time_point> keepAliveUntil() const;

private:
    class Private;
    std::shared_ptr<Private> m_d;
};

using ClientConnectionPointer = std::shared_ptr<ClientConnection>;

} // namespace lycheelanding::http

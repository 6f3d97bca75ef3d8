#pragma once

#include "lycheelanding/core/result.h"
#include "lycheelanding/http/httpmessages.h"
#include "lycheelanding/http/outgoingrequest.h"

#include <asio/any_io_executor.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
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
    /// Unset for a chunked body and for a body that ends when the server closes the connection.
    std::optional<std::uint64_t> bodyBytes;
    BodyFraming framing = BodyFraming::NoBody;
};

/// Called in the order head, body, end. A failure may replace any of these and is the last call.
struct AnswerHandlers
{
    /// Whether the answer belongs to this request. Other answers, such as a second answer to an earlier request, are
    /// skipped. When unset, every answer belongs to it.
    std::function<bool(const AnswerHead &head)> matchesRequest;
    /// Whether a successful answer without a content type is an event stream.
    bool expectsEventStream = false;
    std::function<void(AnswerHead head)> onHead;
    std::function<void(std::string_view bytes)> onBody;
    /// The answer is complete. The connection can carry another request only if `isReusable`.
    std::function<void(bool isReusable)> onEnd;
    /// The connection was lost, or an event stream ended inside an event (BackendServerLost), or the answer breaks the
    /// protocol or a limit (AnswerMalformed); the connection is closed.
    std::function<void(const core::Error &error)> onFailed;
};

/// TCP settings that detect a peer's host that no longer responds.
struct TcpLivenessSettings
{
    /// TCP_USER_TIMEOUT: the connection is lost when sent bytes stay unacknowledged for this long.
    std::chrono::milliseconds unacknowledgedTimeout = std::chrono::milliseconds(3000);
    /// TCP_KEEPIDLE and TCP_KEEPINTVL: idle time before the first keepalive probe, and time between two probes. The
    /// kernel takes whole seconds.
    std::chrono::seconds probeInterval{1};
    /// TCP_KEEPCNT: the connection is lost after this many unanswered probes.
    int maxUnansweredProbes = 3;
};

/// Limits of what a server may send before, between and beside the parts of an answer. One that exceeds a limit breaks
/// the protocol.
struct AnswerLimits
{
    /// Time from the first byte of a head to its end.
    std::chrono::milliseconds headTimeout = std::chrono::milliseconds(5000);
    /// Of the status line and all fields.
    std::size_t maxHeadBytes = 64UL * 1024;
    /// Interim answers (1xx) before an answer.
    std::size_t maxInterimAnswers = 16;
    /// Of answers to other requests.
    std::size_t maxSkippedBytes = 256UL * 1024;
    /// From the end of one event of a stream to the end of the next.
    std::size_t maxEventBytes = 256UL * 1024;
};

/// A connection to a server that carries one request at a time. Never sends a request twice. All members must be called
/// on the executor, which also runs the handlers and must not run two of them at the same time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    ClientConnection(asio::any_io_executor executor, asio::ip::tcp::endpoint peer,
                     const TcpLivenessSettings &livenessSettings = {}, const AnswerLimits &limits = {});
    ~ClientConnection();
    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    /// Opens the connection. Fails with PeerUnreachable; no byte of a request has been sent then.
    void connect(std::chrono::milliseconds timeout, std::function<void(const core::Status &)> onConnected);
    /// Sends a serialized request; the connection must be open and idle. After the call the request may have reached
    /// the server. `isHeadRequest` tells the parser that the answer to a HEAD request has no body.
    void send(OutgoingRequest request, bool isHeadRequest, AnswerHandlers handlers);
    /// Sets the handler that is called once when the connection ends while it is idle.
    void onIdleEnd(std::function<void()> handler);
    /// Closes the connection; no handler is called afterwards.
    void close();

    const asio::ip::tcp::endpoint &peer() const;
    bool isOpen() const;
    /// End of the idle time that the Keep-Alive header of the last answer gives, less a margin; unset without one.
    std::optional<std::chrono::steady_clock::time_point> keepAliveUntil() const;

private:
    class Private;
    std::shared_ptr<Private> m_d;
};

using ClientConnectionPointer = std::shared_ptr<ClientConnection>;

} // namespace lycheelanding::http

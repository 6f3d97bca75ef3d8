#pragma once

#include "lycheelanding/core/result.h"
#include "lycheelanding/http/httpmessages.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lycheelanding::http {

/// Limit of the body of an answer that is buffered, unless the request sets another one.
inline constexpr std::size_t defaultMaxAnswerBytes = 16UL * 1024 * 1024;

struct HttpClientRequest
{
    std::string method = "GET";
    /// Absolute http:// URL with an IPv4 address as host.
    std::string url;
    HttpHeaders headers;
    std::string body;
    std::chrono::milliseconds connectTimeout = std::chrono::seconds(1);
    /// From the start of the request to the last byte of the answer; 0 means no timeout.
    std::chrono::milliseconds timeout = std::chrono::seconds(10);
    /// Answers with a larger body fail; 0 means no limit, for an answer that is passed on as it arrives.
    std::size_t maxBodyBytes = defaultMaxAnswerBytes;
    /// Whether the request may share its connection with others. A server that sends an answer twice can give the copy
    /// to the next request on the connection.
    bool sharesConnection = true;
};

/// Called in the order head, chunks, done on the client's thread or executor; they must not block.
struct HttpClientHandlers
{
    std::function<void(int status, const HttpHeaders &headers)> onHead;
    std::function<void(std::string_view bytes)> onChunk;
    /// Fails with Cancelled after cancel(), with PeerUnreachable exactly when no byte of the request was sent, with
    /// BackendServerFailed when the body is too large, with DeadlineExceeded after the timeout, and with
    /// BackendServerLost otherwise. Only GET, HEAD and OPTIONS are sent a second time, when a reused connection fails
    /// before the head of the answer.
    std::function<void(const core::Status &status)> onDone;
};

using HttpTransferId = std::uint64_t;

/// Runs HTTP requests concurrently on one thread that it starts. All members are thread-safe.
class HttpClient
{
public:
    HttpClient();
    /// Cancels the running requests; their handlers have been called when it returns.
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    HttpTransferId start(HttpClientRequest request, HttpClientHandlers handlers);
    /// Buffers the complete answer before it calls `onDone`.
    HttpTransferId fetch(HttpClientRequest request, std::function<void(core::Result<HttpResponse>)> onDone);
    /// Blocks until the answer is complete; must not be called from a handler.
    core::Result<HttpResponse> fetchAndWait(HttpClientRequest request);
    void cancel(HttpTransferId id);

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace lycheelanding::http

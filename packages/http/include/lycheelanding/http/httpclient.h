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

struct HttpClientRequest
{
    std::string method = "GET";
    /// Absolute URL with an IP number as host.
    std::string url;
    HttpHeaders headers;
    std::string body;
    std::chrono::milliseconds connectTimeout = std::chrono::seconds(1);
    /// From start to the last byte of the answer; 0 means without limit.
    std::chrono::milliseconds timeout = std::chrono::seconds(10);
    /// Answers with a larger body fail; 0 means without limit.
    std::size_t maxBodyBytes = 0;
};

/// Called in the order head, chunks, done, on the client's thread; they must not block.
struct HttpClientHandlers
{
    std::function<void(int status, const HttpHeaders &headers)> onHead;
    std::function<void(std::string_view bytes)> onChunk;
    /// Fails with PeerUnreachable exactly when no byte of the request was sent; with Cancelled after cancel(), with
    /// BackendServerFailed when the body is too large, with DeadlineExceeded after the timeout, with BackendServerLost
    /// otherwise. Only GET, HEAD and OPTIONS are ever sent a second time, when a kept connection has ended.
    std::function<void(const core::Status &status)> onDone;
};

using HttpTransferId = std::uint64_t;

/// Runs any number of HTTP requests at a time on one thread of its own.
class HttpClient
{
public:
    HttpClient();
    /// Cancels what runs; handlers have been called when it returns.
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    HttpTransferId start(HttpClientRequest request, HttpClientHandlers handlers);
    /// Gathers the whole answer before it calls `onDone`.
    HttpTransferId fetch(HttpClientRequest request, std::function<void(core::Result<HttpResponse>)> onDone);
    /// Waits for the whole answer; not to be called from a handler.
    core::Result<HttpResponse> fetchAndWait(HttpClientRequest request);
    void cancel(HttpTransferId id);

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace lycheelanding::http

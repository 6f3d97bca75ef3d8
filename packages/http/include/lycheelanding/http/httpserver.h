#pragma once

#include "lycheelanding/core/result.h"
#include "lycheelanding/http/callermemory.h"
#include "lycheelanding/http/httpmessages.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lycheelanding::http {

/// A request and its answer. All members are thread-safe.
///
/// An answer is either one respond(), or one startStream() or startWithContentLength(), any number of sendChunk(), and
/// then finish() or abort(). Calls after the end of the answer or after the loss of the caller's connection have no
/// effect. Destroying an exchange without an answer sends status 500; destroying it within an answer aborts the answer.
class HttpExchange
{
public:
    class Private;

    explicit HttpExchange(std::unique_ptr<Private> implementation);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    void respond(HttpResponse response);
    /// Starts an answer with a chunked body; for an HTTP/1.0 caller, with a body that ends when the connection closes.
    void startStream(int status, const HttpHeaders &headers);
    /// Like startStream(), for a body of known length. finish() aborts the answer if fewer bytes were sent; a chunk
    /// that exceeds the length is discarded.
    void startWithContentLength(int status, const HttpHeaders &headers, std::uint64_t bodyBytes);
    void sendChunk(std::string bytes);
    /// Ends the answer; a chunked body gets its last chunk, which shows the caller that the answer is complete.
    void finish();
    /// Closes the connection without the last chunk, which shows the caller that the answer is incomplete.
    void abort();
    /// Calls `handler` once when the caller's connection is lost before the end of the answer; immediately if it is
    /// already lost.
    void onCallerGone(std::function<void()> handler);

    const HttpRequest &request() const;
    /// Body bytes of the answer that have not been written to the socket yet.
    std::size_t unsentBytes() const;
    /// Whether an account bounds the memory of unsent bytes and the kernel's buffers.
    bool hasMemoryAccount() const;

private:
    std::unique_ptr<Private> m_d;
};

using HttpExchangePointer = std::shared_ptr<HttpExchange>;
using HttpHandler = std::function<void(HttpExchangePointer)>;

struct HttpServerSettings
{
    std::string address = "127.0.0.1";
    /// 0 binds an ephemeral port, see HttpServer::port().
    std::uint16_t port = 0;
    std::size_t maxBodyBytes = 1024UL * 1024;
    std::size_t maxHeaderValueBytes = 8UL * 1024;
    /// Connections beyond this number are closed as soon as they are accepted. At most half of the process's file
    /// descriptors are used, even if this is higher. With `memory`, accepting pauses instead, and connections that
    /// have been inactive for longest are closed.
    std::size_t maxConnections = 4096;
    /// A connection is closed if a request is not complete within this time of its first byte. With `memory` this
    /// applies to the fields, and to the time without a byte of the body.
    std::chrono::milliseconds readTimeout = std::chrono::seconds(60);
    /// A connection without a request for this long is closed; 0 uses the read timeout.
    std::chrono::milliseconds idleTimeout = std::chrono::milliseconds(0);
    /// A connection is closed if a write to it takes longer than this.
    std::chrono::milliseconds writeTimeout = std::chrono::seconds(30);
    /// Account from which requests and answers draw their memory; null for none. The kernel's buffers are bounded too.
    CallerMemoryPointer memory = nullptr;
};

/// An HTTP/1.1 server on an io_context that its user runs on one or more threads.
///
/// The server itself answers requests that are malformed or exceed a limit; they never reach the handler.
class HttpServer
{
public:
    HttpServer(asio::io_context &context, const HttpServerSettings &settings, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Opens the listening socket. Fails with InvalidSettings when the address cannot be bound.
    core::Status start();
    /// Closes the listening socket and starts draining; exchanges in progress continue.
    void stopAccepting();
    /// Answers started from now on close their connections. New connections are still accepted.
    void startDraining();
    /// Changes the timeouts, also for open connections.
    void setTimeouts(std::chrono::milliseconds readTimeout, std::chrono::milliseconds idleTimeout);
    /// Closes the connections that have neither a request in progress nor part of one received.
    void closeIdleConnections();
    /// Closes the listening socket and all connections; exchanges in progress are aborted.
    void close();

    /// The bound port; valid after start().
    std::uint16_t port() const;
    /// Number of exchanges whose answers have not been written to the socket completely.
    std::size_t openExchanges() const;
    /// Number of open connections. While the server drains and idle connections are closed, these are the ones whose
    /// caller has sent a part of a request, awaits an answer or has not closed the connection after its last one.
    std::size_t openConnections() const;

private:
    class Private;
    std::shared_ptr<Private> m_d;
};

} // namespace lycheelanding::http

#pragma once

#include "lycheelanding/core/result.h"
#include "lycheelanding/http/httpmessages.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lycheelanding::http {

/// One request and its answer in progress. All members may be called from any thread.
///
/// An answer is either one respond(), or startStream(), any number of sendChunk() and one of finish() and abort().
/// Calls after the end, or after the caller has gone, have no effect.
class HttpExchange
{
public:
    class Private;

    explicit HttpExchange(std::unique_ptr<Private> implementation);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    void respond(HttpResponse response);
    void startStream(int status, const HttpHeaders &headers);
    /// As startStream(), for a body of which the length is known: a shorter one ends as a broken answer.
    void startWithContentLength(int status, const HttpHeaders &headers, std::uint64_t bodyBytes);
    void sendChunk(std::string bytes);
    /// Ends the stream with its last chunk: the caller knows that the answer is whole.
    void finish();
    /// Closes the connection without the last chunk: the caller sees that the answer is broken.
    void abort();
    /// Calls `handler` once when the caller's connection is lost before the answer has ended; at once when it is lost.
    void onCallerGone(std::function<void()> handler);

    const HttpRequest &request() const;
    /// Bytes handed to sendChunk() that the connection has not taken yet.
    std::size_t unsentBytes() const;

private:
    std::unique_ptr<Private> m_d;
};

using HttpExchangePointer = std::shared_ptr<HttpExchange>;
using HttpHandler = std::function<void(HttpExchangePointer)>;

struct HttpServerSettings
{
    std::string address = "127.0.0.1";
    /// 0 takes an ephemeral port, see HttpServer::port().
    std::uint16_t port = 0;
    std::size_t maxBodyBytes = 1024UL * 1024;
    std::size_t maxHeaderValueBytes = 8UL * 1024;
    /// Further connections are closed as soon as they are accepted. At most half of the process's descriptors.
    std::size_t maxConnections = 4096;
    /// A connection on which no whole request has arrived within this time of its first byte is closed.
    std::chrono::milliseconds readTimeout = std::chrono::seconds(60);
    /// A connection without a request for this long is closed; 0 means the read timeout.
    std::chrono::milliseconds idleTimeout = std::chrono::milliseconds(0);
    /// A write to a caller that takes longer closes the connection.
    std::chrono::milliseconds writeTimeout = std::chrono::seconds(30);
};

/// An HTTP/1.1 server on an io_context that the caller runs, on one thread or several.
///
/// Requests that are malformed or over a bound are answered by the server and never reach the handler.
class HttpServer
{
public:
    HttpServer(asio::io_context &context, const HttpServerSettings &settings, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Opens the listening socket. Fails with InvalidSettings when the address cannot be bound.
    core::Status start();
    /// Closes the listening socket; exchanges in progress go on, and answers begun from now on end their connections.
    void stopAccepting();
    /// From now on answers end their connections; new ones are still accepted.
    void startDraining();
    /// Other timeouts hold from now on, for open connections too.
    void setTimeouts(std::chrono::milliseconds readTimeout, std::chrono::milliseconds idleTimeout);
    /// Closes the connections that have neither a request nor a part of one.
    void closeIdleConnections();
    /// Closes the listening socket and aborts the exchanges in progress; requests on kept connections are refused.
    void close();

    /// The bound port; valid after start().
    std::uint16_t port() const;
    /// Exchanges whose answers have not been taken by the connection to their last byte.
    std::size_t openExchanges() const;

private:
    class Private;
    std::shared_ptr<Private> m_d;
};

} // namespace lycheelanding::http

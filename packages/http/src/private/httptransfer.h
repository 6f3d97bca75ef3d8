#pragma once

#include "lycheelanding/http/connectionpool.h"
#include "lycheelanding/http/httpclient.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <optional>

namespace lycheelanding::http {

/// Server and request target of a URL.
struct UrlParts
{
    asio::ip::tcp::endpoint server;
    /// Host and port as in the URL; value of the Host field.
    std::string authority;
    std::string target;
};

/// The parts of a URL of the form http://IP[:PORT][/TARGET]; unset for any other URL.
std::optional<UrlParts> urlPartsOf(std::string_view url);

/// A request of AsyncHttpClient over a pooled or new connection. All members must be called on the client's executor.
class HttpTransfer : public std::enable_shared_from_this<HttpTransfer>
{
public:
    HttpTransfer(const asio::any_io_executor &executor, ConnectionPool &pool, HttpClientRequest request,
                 HttpClientHandlers handlers, std::function<void()> onFinished);

    void start();
    void cancel();
    /// Cancels the transfer without calling its handlers.
    void discard();

private:
    void sendOnNewConnection();
    void send(const ClientConnectionPointer &connection, bool isReused);
    void onBody(std::string_view bytes);
    bool isTooLarge(std::uint64_t bodyBytes) const;
    void finishTooLarge();
    void onFailed(const core::Error &error, bool isReused);
    void finish(const core::Status &status);
    core::Error transferError(core::ErrorKind kind, const std::string &reason) const;

    const asio::any_io_executor m_executor;
    ConnectionPool &m_pool;
    const HttpClientRequest m_request;
    HttpClientHandlers m_handlers;
    std::function<void()> m_onFinished;
    asio::steady_timer m_timer;
    UrlParts m_url;
    ClientConnectionPointer m_connection;
    std::size_t m_bodyBytes = 0;
    bool m_wasSent = false;
    bool m_hasHead = false;
    bool m_isFinished = false;
};

} // namespace lycheelanding::http

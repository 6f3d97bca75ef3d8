#include "lycheelanding/http/httpserver.h"

#include "private/serverconnection.h"
#include "private/serverconnections.h"
#include "private/serversocketoptions.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <mutex>
#include <utility>

namespace lycheelanding::http {

namespace {

constexpr std::chrono::milliseconds maxTimeoutCheckInterval = std::chrono::seconds(1);
constexpr std::chrono::milliseconds minTimeoutCheckInterval{10};
/// Delay after a failed accept, for example when the process has no free file descriptor, and while there are as many
/// connections as may be open.
constexpr std::chrono::milliseconds acceptRetryDelay{50};

/// Callers' connections may use at most half of the file descriptors; the rest is for backend servers and files.
std::size_t connectionLimit(const HttpServerSettings &settings)
{
    rlimit descriptors{};
    if (::getrlimit(RLIMIT_NOFILE, &descriptors) != 0) {
        return settings.maxConnections;
    }
    return std::min<std::size_t>(settings.maxConnections, descriptors.rlim_cur / 2);
}

std::chrono::milliseconds timeoutCheckInterval(const HttpServerSettings &settings)
{
    const auto minTimeout = std::min(settings.readTimeout, settings.writeTimeout);
    return std::clamp(minTimeout / 4, minTimeoutCheckInterval, maxTimeoutCheckInterval);
}

} // namespace

/// The listening socket, the timers and the connections of a server. A pending accept or its retry keeps it alive; the
/// timeout check does not.
class HttpServer::Private : public std::enable_shared_from_this<HttpServer::Private>
{
public:
    Private(asio::io_context &context, const HttpServerSettings &settings, HttpHandler handler)
        : m_settings(settings), m_connectionLimit(connectionLimit(settings)), m_acceptor(context),
          m_acceptTimer(context), m_checkTimer(context),
          m_connections(std::make_shared<ServerConnections>(context, settings, std::move(handler)))
    { }

    core::Status start();
    void stopAccepting();

    std::uint16_t port() const { return m_port; }
    ServerConnections &connections() { return *m_connections; }
    template <typename Call>
    void forEachConnection(Call call);

private:
    void accept();
    void acceptLater();
    void onAccepted(const asio::error_code &error, asio::ip::tcp::socket socket);
    void scheduleTimeoutCheck();

    const HttpServerSettings m_settings;
    const std::size_t m_connectionLimit;
    /// Guards the acceptor and both timers.
    std::mutex m_mutex;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptTimer;
    asio::steady_timer m_checkTimer;
    bool m_isStopped = false;
    bool m_isClosing = false;
    std::uint16_t m_port = 0;
    const std::shared_ptr<ServerConnections> m_connections;

    friend class HttpServer;
};

core::Status HttpServer::Private::start()
{
    const std::string endpointText = m_settings.address + ":" + std::to_string(m_settings.port);
    asio::error_code error;
    const auto address = asio::ip::make_address(m_settings.address, error);
    const asio::ip::tcp::endpoint endpoint(address, m_settings.port);
    if (!error) {
        m_acceptor.open(endpoint.protocol(), error);
    }
    if (!error) {
        m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        m_acceptor.bind(endpoint, error);
    }
    if (!error && m_settings.memory) {
        // Accepted sockets inherit the sizes; set later, they would not bound what arrives before.
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(socketBufferBytes), error);
        m_acceptor.set_option(asio::socket_base::send_buffer_size(socketBufferBytes), error);
    }
    if (!error) {
        m_acceptor.listen(m_settings.memory ? limitedBacklog : asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return core::Error{core::ErrorKind::InvalidSettings,
                           "cannot listen on " + endpointText + ": " + error.message()};
    }
    m_port = m_acceptor.local_endpoint().port();
    accept();
    scheduleTimeoutCheck();
    return core::Done();
}

void HttpServer::Private::accept()
{
    if (m_settings.memory && m_connections->count() >= m_connectionLimit) {
        m_connections->closeLongestInactive();
        acceptLater();
        return;
    }
    const std::lock_guard lock(m_mutex);
    if (m_isStopped) {
        return;
    }
    m_acceptor.async_accept([self = shared_from_this()](const auto &error, asio::ip::tcp::socket socket) {
        self->onAccepted(error, std::move(socket));
    });
}

void HttpServer::Private::acceptLater()
{
    const std::lock_guard lock(m_mutex);
    if (!m_isStopped) {
        m_acceptTimer.expires_after(acceptRetryDelay);
        m_acceptTimer.async_wait([self = shared_from_this()](const auto &) { self->accept(); });
    }
}

void HttpServer::Private::onAccepted(const asio::error_code &error, asio::ip::tcp::socket socket)
{
    if (error == asio::error::operation_aborted) {
        return;
    }
    if (error) {
        acceptLater();
        return;
    }
    if (m_connections->count() < m_connectionLimit) {
        const auto connection = std::make_shared<ServerConnection>(std::move(socket), m_connections);
        m_connections->add(connection);
        connection->start();
    }
    accept();
}

template <typename Call>
void HttpServer::Private::forEachConnection(Call call)
{
    for (const auto &connection : m_connections->all()) {
        connection->post([connection, call] { (connection.get()->*call)(); });
    }
}

void HttpServer::Private::scheduleTimeoutCheck()
{
    const std::lock_guard lock(m_mutex);
    if (m_isClosing) {
        return;
    }
    m_checkTimer.expires_after(timeoutCheckInterval(m_settings));
    m_checkTimer.async_wait([weak = weak_from_this()](const auto &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->forEachConnection(&ServerConnection::checkTimeouts);
            self->scheduleTimeoutCheck();
        }
    });
}

void HttpServer::Private::stopAccepting()
{
    m_connections->startDraining();
    const std::lock_guard lock(m_mutex);
    m_isStopped = true;
    asio::error_code ignored;
    m_acceptor.close(ignored);
    m_acceptTimer.cancel();
}

HttpServer::HttpServer(asio::io_context &context, const HttpServerSettings &settings, HttpHandler handler)
    : m_d(std::make_shared<Private>(context, settings, std::move(handler)))
{ }

HttpServer::~HttpServer()
{
    close();
}

core::Status HttpServer::start()
{
    return m_d->start();
}

void HttpServer::stopAccepting()
{
    m_d->stopAccepting();
}

void HttpServer::startDraining()
{
    m_d->connections().startDraining();
}

void HttpServer::setTimeouts(std::chrono::milliseconds readTimeout, std::chrono::milliseconds idleTimeout)
{
    m_d->connections().setTimeouts(readTimeout, idleTimeout);
}

void HttpServer::closeIdleConnections()
{
    m_d->forEachConnection(&ServerConnection::closeIfIdle);
}

void HttpServer::close()
{
    m_d->stopAccepting();
    {
        const std::lock_guard lock(m_d->m_mutex);
        m_d->m_isClosing = true;
        m_d->m_checkTimer.cancel();
    }
    m_d->forEachConnection(&ServerConnection::close);
}

std::uint16_t HttpServer::port() const
{
    return m_d->port();
}

std::size_t HttpServer::openConnections() const
{
    return m_d->connections().count();
}

std::size_t HttpServer::openExchanges() const
{
    return m_d->connections().openExchanges();
}

} // namespace lycheelanding::http

#include "private/serverconnections.h"

#include "private/serverconnection.h"

#include <utility>

namespace lycheelanding::http {

ServerConnections::ServerConnections(asio::io_context &context, const HttpServerSettings &settings, HttpHandler handler)
    : m_context(context), m_settings(settings), m_handler(std::move(handler)), m_readTimeout(settings.readTimeout),
      m_idleTimeout(settings.idleTimeout)
{ }

void ServerConnections::add(const ServerConnectionPointer &connection)
{
    const std::lock_guard lock(m_mutex);
    m_connections.emplace(connection.get(), connection);
}

void ServerConnections::remove(const ServerConnection *connection)
{
    const std::lock_guard lock(m_mutex);
    m_connections.erase(connection);
}

std::vector<ServerConnectionPointer> ServerConnections::all() const
{
    std::vector<ServerConnectionPointer> connections;
    const std::lock_guard lock(m_mutex);
    connections.reserve(m_connections.size());
    for (const auto &[key, weak] : m_connections) {
        if (auto connection = weak.lock()) {
            connections.push_back(std::move(connection));
        }
    }
    return connections;
}

std::size_t ServerConnections::count() const
{
    const std::lock_guard lock(m_mutex);
    return m_connections.size();
}

void ServerConnections::setTimeouts(std::chrono::milliseconds readTimeout, std::chrono::milliseconds idleTimeout)
{
    m_readTimeout = readTimeout;
    m_idleTimeout = idleTimeout;
}

std::chrono::milliseconds ServerConnections::idleTimeout() const
{
    const auto timeout = m_idleTimeout.load();
    return timeout.count() > 0 ? timeout : readTimeout();
}

} // namespace lycheelanding::http

#include "private/serverconnections.h"

#include "private/serverconnection.h"

#include <algorithm>
#include <utility>

namespace lycheelanding::http {

namespace {

/// Further ones are closed at the next attempt to accept.
constexpr std::size_t maxClosedAtOnce = 8;

} // namespace

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

void ServerConnections::closeLongestInactive() const
{
    std::vector<std::pair<std::chrono::steady_clock::time_point, ServerConnectionPointer>> inactive;
    for (auto &connection : all()) {
        if (const auto since = connection->inactiveSince()) {
            inactive.emplace_back(*since, std::move(connection));
        }
    }
    const auto count = std::min(inactive.size(), maxClosedAtOnce);
    std::partial_sort(inactive.begin(), inactive.begin() + static_cast<std::ptrdiff_t>(count), inactive.end());
    for (std::size_t index = 0; index < count; ++index) {
        const auto &connection = inactive[index].second;
        m_settings.memory->connectionReplaced();
        connection->post([connection] { connection->closeIfInactive(); });
    }
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

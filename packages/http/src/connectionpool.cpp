#include "lycheelanding/http/connectionpool.h"

#include <algorithm>
#include <utility>

namespace lycheelanding::http {

ConnectionPool::~ConnectionPool()
{
    closeAll();
}

ClientConnectionPointer ConnectionPool::acquire(const asio::ip::tcp::endpoint &peer)
{
    const auto found = m_idle.find(peer);
    if (found == m_idle.end()) {
        return nullptr;
    }
    const auto now = std::chrono::steady_clock::now();
    auto &idle = found->second;
    // Least recently used first, so that no connection reaches its idle timeout while others are in use.
    while (!idle.empty()) {
        const Idle first = std::move(idle.front());
        idle.pop_front();
        first.connection->onIdleEnd(nullptr);
        if (first.connection->isOpen() && now < first.expiresAt) {
            return first.connection;
        }
        first.connection->close();
    }
    m_idle.erase(found);
    return nullptr;
}

void ConnectionPool::release(const ClientConnectionPointer &connection)
{
    if (idleCount() >= m_maxIdle) {
        connection->close();
        return;
    }
    auto expiresAt = std::chrono::steady_clock::now() + m_maxIdleTime;
    if (const auto keepAliveUntil = connection->keepAliveUntil()) {
        expiresAt = std::min(expiresAt, *keepAliveUntil);
    }
    // The handler cannot outlive the pool: the pool closes its idle connections, and closing one removes its handler.
    connection->onIdleEnd([this, peer = connection->peer(), key = connection.get()] { removeIdle(peer, key); });
    m_idle[connection->peer()].push_back({connection, expiresAt});
}

std::size_t ConnectionPool::idleCount() const
{
    std::size_t count = 0;
    for (const auto &[peer, idle] : m_idle) {
        count += idle.size();
    }
    return count;
}

void ConnectionPool::removeIdle(const asio::ip::tcp::endpoint &peer, const ClientConnection *connection)
{
    const auto found = m_idle.find(peer);
    if (found == m_idle.end()) {
        return;
    }
    std::erase_if(found->second, [connection](const Idle &idle) { return idle.connection.get() == connection; });
    if (found->second.empty()) {
        m_idle.erase(found);
    }
}

void ConnectionPool::closeTo(const asio::ip::tcp::endpoint &peer)
{
    const auto found = m_idle.find(peer);
    if (found == m_idle.end()) {
        return;
    }
    for (const auto &idle : found->second) {
        idle.connection->close();
    }
    m_idle.erase(found);
}

void ConnectionPool::closeAll()
{
    while (!m_idle.empty()) {
        closeTo(asio::ip::tcp::endpoint(m_idle.begin()->first));
    }
}

std::size_t ConnectionPool::idleCount(const asio::ip::tcp::endpoint &peer) const
{
    const auto found = m_idle.find(peer);
    return found == m_idle.end() ? 0 : found->second.size();
}

} // namespace lycheelanding::http

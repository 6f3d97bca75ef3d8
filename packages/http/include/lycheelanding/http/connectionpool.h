#pragma once

#include "lycheelanding/http/clientconnection.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

namespace lycheelanding::http {

/// Idle connections by server, the least recently used first. All members must be called on one executor.
class ConnectionPool
{
public:
    /// Connections idle for longer than `maxIdleTime` are not reused, even within the server's Keep-Alive time.
    /// Beyond `maxIdle` connections, those that are released are closed.
    explicit ConnectionPool(std::chrono::milliseconds maxIdleTime, std::size_t maxIdle = SIZE_MAX)
        : m_maxIdleTime(maxIdleTime), m_maxIdle(maxIdle)
    { }
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    /// Removes an idle connection from the pool and returns it; null when there is none.
    ClientConnectionPointer acquire(const asio::ip::tcp::endpoint &peer);
    /// Returns an open connection whose last answer is complete to the pool.
    void release(const ClientConnectionPointer &connection);
    /// Closes the idle connections to `peer`.
    void closeTo(const asio::ip::tcp::endpoint &peer);
    void closeAll();
    std::size_t idleCount(const asio::ip::tcp::endpoint &peer) const;

private:
    struct Idle
    {
        ClientConnectionPointer connection;
        std::chrono::steady_clock::time_point expiresAt;
    };

    void removeIdle(const asio::ip::tcp::endpoint &peer, const ClientConnection *connection);

    std::size_t idleCount() const;

    const std::chrono::milliseconds m_maxIdleTime;
    const std::size_t m_maxIdle;
    std::map<asio::ip::tcp::endpoint, std::deque<Idle>> m_idle;
};

} // namespace lycheelanding::http

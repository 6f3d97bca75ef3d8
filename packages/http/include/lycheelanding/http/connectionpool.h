#pragma once

#include "lycheelanding/http/clientconnection.h"

#include <cstddef>
#include <deque>
#include <map>

namespace lycheelanding::http {

/// Idle connections by server, the one used last first. Used on one executor.
class ConnectionPool
{
public:
    /// Connections idle for longer than `maxIdleTime` are not used again, whatever the server has promised.
    explicit ConnectionPool(std::chrono::milliseconds maxIdleTime) : m_maxIdleTime(maxIdleTime) { }
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    /// Takes an idle connection out; null when there is none.
    ClientConnectionPointer acquire(const asio::ip::tcp::endpoint &peer);
    /// Keeps an open connection that has just carried a whole answer.
    void release(const ClientConnectionPointer &connection);
    /// Closes the idle connections to a server.
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

    const std::chrono::milliseconds m_maxIdleTime;
    std::map<asio::ip::tcp::endpoint, std::deque<Idle>> m_idle;
};

} // namespace lycheelanding::http

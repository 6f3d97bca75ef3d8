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
    /// Connections idle for longer than `longestIdle` are not used again, whatever the server has promised.
    explicit ConnectionPool(std::chrono::milliseconds longestIdle) : m_longestIdle(longestIdle) { }
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    /// Takes an idle connection out; null when there is none.
    ClientConnectionPointer take(const asio::ip::tcp::endpoint &peer);
    /// Keeps an open connection that has just carried a whole answer.
    void keep(const ClientConnectionPointer &connection);
    /// Closes the idle connections to a server.
    void closeTo(const asio::ip::tcp::endpoint &peer);
    void closeAll();
    std::size_t idleCount(const asio::ip::tcp::endpoint &peer) const;

private:
    struct Idle
    {
        ClientConnectionPointer connection;
        std::chrono::steady_clock::time_point until;
    };

    void drop(const asio::ip::tcp::endpoint &peer, const ClientConnection *connection);

    const std::chrono::milliseconds m_longestIdle;
    std::map<asio::ip::tcp::endpoint, std::deque<Idle>> m_idle;
};

} // namespace lycheelanding::http

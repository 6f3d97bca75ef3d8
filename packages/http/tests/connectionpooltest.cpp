#include "lycheelanding/http/connectionpool.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <gtest/gtest.h>

#include <optional>

namespace lycheelanding::http {

namespace {

/// A server that accepts connections and never sends anything.
struct UnresponsiveServer
{
    UnresponsiveServer() { accept(); }

    void accept()
    {
        acceptor.async_accept([this](const auto &error, asio::ip::tcp::socket socket) {
            if (!error) {
                sockets.push_back(std::move(socket));
                accept();
            }
        });
    }

    ClientConnectionPointer connect()
    {
        auto connection = std::make_shared<ClientConnection>(context.get_executor(), acceptor.local_endpoint());
        bool isDone = false;
        connection->connect(std::chrono::seconds(5), [&isDone](const core::Status &) { isDone = true; });
        while (!isDone) {
            context.run_one();
        }
        return connection;
    }

    asio::io_context context;
    asio::ip::tcp::acceptor acceptor{context, {asio::ip::make_address("127.0.0.1"), 0}};
    std::vector<asio::ip::tcp::socket> sockets;
};

} // namespace

// Guards against reuse of a few connections while the others reach the server's idle timeout. The replacement of a
// closed connection takes up one more connection of the server for a moment.
TEST(ConnectionPool, leastRecentlyUsedConnectionIsTakenFirst)
{
    UnresponsiveServer server;
    ConnectionPool pool(std::chrono::seconds(20));
    const auto first = server.connect();
    const auto second = server.connect();
    pool.release(first);
    pool.release(second);
    const auto endpoint = server.acceptor.local_endpoint();
    EXPECT_EQ(pool.acquire(endpoint), first);
    pool.release(first);
    EXPECT_EQ(pool.acquire(endpoint), second);
    EXPECT_EQ(pool.acquire(endpoint), first);
    EXPECT_EQ(pool.acquire(endpoint), nullptr);
}

TEST(ConnectionPool, closedConnectionIsNotReused)
{
    UnresponsiveServer server;
    ConnectionPool pool(std::chrono::seconds(20));
    const auto connection = server.connect();
    pool.release(connection);
    connection->close();
    EXPECT_EQ(pool.acquire(server.acceptor.local_endpoint()), nullptr);
}

TEST(ConnectionPool, connectionIsNotUsedAfterTheMaximumIdleTime)
{
    UnresponsiveServer server;
    ConnectionPool pool(std::chrono::milliseconds(0));
    pool.release(server.connect());
    EXPECT_EQ(pool.acquire(server.acceptor.local_endpoint()), nullptr);
}

} // namespace lycheelanding::http

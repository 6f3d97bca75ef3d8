#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace lycheelanding::forwarding {

/// What an endless backend server sends: a beginning, and then the same bytes again and again, all at once or a byte
/// now and then.
struct EndlessAnswer
{
    std::string name;
    std::string beginning;
    std::string repeated;
    /// Zero: as fast as the connection takes them.
    std::chrono::milliseconds interval{};
};

/// A backend server whose answer does not end until the other side closes the connection.
class EndlessPeer
{
public:
    EndlessPeer(asio::io_context &context, EndlessAnswer answer)
        : m_context(context), m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}), m_answer(std::move(answer))
    {
        constexpr std::size_t pieceBytes = 16UL * 1024;
        while (!m_answer.repeated.empty() && m_fullSpeedPiece.size() < pieceBytes) {
            m_fullSpeedPiece += m_answer.repeated;
        }
        accept();
    }

    asio::ip::tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }
    std::string address() const { return "127.0.0.1:" + std::to_string(endpoint().port()); }

    int requests = 0;
    int closedConnections = 0;
    /// Bytes that the connection took.
    std::size_t sentBytes = 0;

private:
    struct Connection
    {
        explicit Connection(asio::ip::tcp::socket accepted) : socket(std::move(accepted)), timer(socket.get_executor())
        { }
        asio::ip::tcp::socket socket;
        asio::steady_timer timer;
        std::array<char, 8192> buffer{};
        std::string output;
        std::size_t nextByte = 0;
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    void accept()
    {
        m_acceptor.async_accept([this](const auto &error, asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            const auto connection = std::make_shared<Connection>(std::move(socket));
            connection->socket.async_read_some(asio::buffer(connection->buffer),
                                               [this, connection](const auto &readError, auto) {
                                                   if (!readError) {
                                                       ++requests;
                                                       write(connection, m_answer.beginning);
                                                       watch(connection);
                                                   }
                                               });
            accept();
        });
    }

    void watch(const ConnectionPointer &connection)
    {
        connection->socket.async_read_some(asio::buffer(connection->buffer),
                                           [this, connection](const auto &error, auto) {
                                               if (error) {
                                                   ++closedConnections;
                                                   connection->timer.cancel();
                                                   connection->socket.close();
                                               }
                                           });
    }

    void write(const ConnectionPointer &connection, std::string bytes)
    {
        connection->output = std::move(bytes);
        asio::async_write(connection->socket, asio::buffer(connection->output),
                          [this, connection](const auto &error, auto size) {
                              sentBytes += size;
                              if (!error) {
                                  writeNext(connection);
                              }
                          });
    }

    void writeNext(const ConnectionPointer &connection)
    {
        if (m_answer.interval == std::chrono::milliseconds::zero()) {
            write(connection, m_fullSpeedPiece);
            return;
        }
        connection->timer.expires_after(m_answer.interval);
        connection->timer.async_wait([this, connection](const auto &error) {
            if (!error) {
                const char next = m_answer.repeated[connection->nextByte++ % m_answer.repeated.size()];
                write(connection, std::string(1, next));
            }
        });
    }

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    const EndlessAnswer m_answer;
    std::string m_fullSpeedPiece;
};

} // namespace lycheelanding::forwarding

#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <string>

namespace lycheelanding::tests {

/// A TCP connection over which a test sends arbitrary bytes.
class RawConnection
{
public:
    /// `address` is IP:PORT. Throws asio::system_error when nothing listens there.
    explicit RawConnection(const std::string &address);

    void write(const std::string &bytes);
    /// Waits until bytes have arrived and leaves them unread. Throws std::runtime_error after 30 s without any.
    void waitForBytes();
    /// The bytes received until the peer closes. Throws std::runtime_error when it is still open after 30 s.
    std::string readUntilClosed();

private:
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
};

} // namespace lycheelanding::tests

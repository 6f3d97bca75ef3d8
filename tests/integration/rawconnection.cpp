#include "rawconnection.h"

#include "lycheelanding/wire/peerconnection.h"

#include <asio/write.hpp>

#include <poll.h>

#include <array>
#include <chrono>
#include <stdexcept>

namespace lycheelanding::tests {

namespace {

constexpr std::chrono::milliseconds closeTimeout(30'000);
constexpr std::size_t readBufferBytes = 4096;

} // namespace

RawConnection::RawConnection(const std::string &address) : m_socket(m_context)
{
    m_socket.connect(core::valueOf(wire::endpointFrom(address)));
}

void RawConnection::write(const std::string &bytes)
{
    asio::error_code ignored; // The peer may already have refused the input and closed.
    asio::write(m_socket, asio::buffer(bytes), ignored);
}

void RawConnection::waitForBytes()
{
    pollfd pollRequest{m_socket.native_handle(), POLLIN, 0};
    if (poll(&pollRequest, 1, static_cast<int>(closeTimeout.count())) <= 0) {
        throw std::runtime_error("no bytes received before the timeout");
    }
}

std::string RawConnection::readUntilClosed()
{
    const auto deadline = std::chrono::steady_clock::now() + closeTimeout;
    std::string received;
    std::array<char, readBufferBytes> buffer{};
    while (true) {
        const auto remaining
            = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
        pollfd pollRequest{m_socket.native_handle(), POLLIN, 0};
        if (remaining.count() <= 0 || poll(&pollRequest, 1, static_cast<int>(remaining.count())) <= 0) {
            throw std::runtime_error("the peer has not closed the connection before the timeout");
        }
        asio::error_code error;
        const auto count = m_socket.read_some(asio::buffer(buffer), error);
        received.append(buffer.data(), count);
        if (error) {
            return received;
        }
    }
}

} // namespace lycheelanding::tests

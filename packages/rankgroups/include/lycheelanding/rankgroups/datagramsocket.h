#pragma once

#include "lycheelanding/core/result.h"
#include "lycheelanding/rankgroups/rankdatagrams.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <array>
#include <functional>

namespace lycheelanding::rankgroups {

/// UDP socket for messages between entries and sides. Messages may get lost. Used on the thread of its io_context,
/// which it must not outlive.
class DatagramSocket
{
public:
    using Handler = std::function<void(const asio::ip::udp::endpoint &sender, const Datagram &datagram)>;

    DatagramSocket(asio::io_context &context, Handler onDatagram);

    /// Fails with InvalidSettings when the address cannot be bound.
    core::Status open(const asio::ip::udp::endpoint &address);
    /// Drops the message if the socket cannot send it without blocking. Returns the size of the message in bytes.
    std::size_t send(const asio::ip::udp::endpoint &receiver, const Datagram &datagram);

private:
    void receive();

    asio::ip::udp::socket m_socket;
    const Handler m_onDatagram;
    asio::ip::udp::endpoint m_sender;
    std::array<char, maxDatagramBytes> m_buffer{};
};

} // namespace lycheelanding::rankgroups

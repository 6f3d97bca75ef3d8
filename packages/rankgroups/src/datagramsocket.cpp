#include "lycheelanding/rankgroups/datagramsocket.h"

#include <utility>

namespace lycheelanding::rankgroups {

DatagramSocket::DatagramSocket(asio::io_context &context, Handler onDatagram)
    : m_socket(context), m_onDatagram(std::move(onDatagram))
{ }

core::Status DatagramSocket::open(const asio::ip::udp::endpoint &address)
{
    asio::error_code error;
    m_socket.open(address.protocol(), error);
    if (!error) {
        m_socket.bind(address, error);
    }
    if (!error) {
        m_socket.non_blocking(true, error);
    }
    if (error) {
        return core::Error{core::ErrorKind::InvalidSettings,
                           "cannot receive datagrams on " + address.address().to_string() + ":"
                               + std::to_string(address.port()) + ": " + error.message()};
    }
    receive();
    return core::Done();
}

std::size_t DatagramSocket::send(const asio::ip::udp::endpoint &receiver, const Datagram &datagram)
{
    const std::string bytes = encodeDatagram(datagram);
    asio::error_code ignored;
    m_socket.send_to(asio::buffer(bytes), receiver, 0, ignored);
    return bytes.size();
}

void DatagramSocket::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_sender, [this](const auto &error, auto size) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        // Other errors concern a message that was sent earlier, such as one to a port on which no process listens.
        if (!error) {
            if (const auto datagram = decodeDatagram({m_buffer.data(), size})) {
                m_onDatagram(m_sender, *datagram);
            }
        }
        receive();
    });
}

} // namespace lycheelanding::rankgroups

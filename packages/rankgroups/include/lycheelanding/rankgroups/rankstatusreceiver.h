#pragma once

#include "lycheelanding/forwarding/entryserver.h"
#include "lycheelanding/rankgroups/datagramsocket.h"

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <string>

namespace lycheelanding::rankgroups {

/// Subscribes an entry to the sides of its backend servers and applies their status updates to the entry. A side has
/// the IP address of its backend server. Used on the thread of the io_context.
class RankStatusReceiver
{
public:
    RankStatusReceiver(asio::io_context &context, forwarding::EntryServer &entry, std::uint16_t port);

    core::Status open(const std::string &ip);

private:
    void subscribe();
    void onStatus(const std::string &ip, const RankStatus &status);

    forwarding::EntryServer &m_entry;
    const std::uint16_t m_port;
    core::SystemClock m_clock;
    core::TimePoint m_nextRegular;
    DatagramSocket m_socket;
    asio::steady_timer m_timer;
};

} // namespace lycheelanding::rankgroups

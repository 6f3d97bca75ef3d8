#pragma once

#include "lycheelanding/forwarding/entryserver.h"
#include "lycheelanding/rankgroups/datagramsocket.h"

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace lycheelanding::rankgroups {

/// Subscribes an entry to the sides of its backend servers and applies their status updates to the entry; exchanges
/// reports with the other entries, which the sides relay: on prompts that crash backend servers, and on limits of
/// backend servers. A side has the IP address of its backend server. Used on the thread of the io_context.
class RankStatusReceiver
{
public:
    RankStatusReceiver(asio::io_context &context, forwarding::EntryServer &entry, std::uint16_t port);

    core::Status open(const std::string &ip);

private:
    void subscribe();
    void onDatagram(const std::string &ip, const Datagram &datagram);
    std::vector<asio::ip::udp::endpoint> sides() const;
    /// Sends a notice to the other entries, over several sides, as any of them may be gone.
    void relay(const Datagram &notice);
    void relay(const decisions::quarantine::CrashReport &report);
    void relay(const decisions::quarantine::ProgressReport &report);
    void relay(const decisions::quarantine::ProbeReport &report);
    void relay(const forwarding::LimitReport &report);
    void repeatHeldReports();
    std::uint32_t ageMsOf(core::TimePoint time) const;
    void onStatus(const std::string &ip, const RankStatus &status);

    forwarding::EntryServer &m_entry;
    const std::uint16_t m_port;
    core::SystemClock m_clock;
    core::TimePoint m_nextRegular;
    core::TimePoint m_nextRepeat;
    decisions::membership::EntryPositionTracker m_position;
    Subscription m_subscription;
    std::size_t m_nextRelay = 0;
    DatagramSocket m_socket;
    asio::steady_timer m_timer;
};

} // namespace lycheelanding::rankgroups

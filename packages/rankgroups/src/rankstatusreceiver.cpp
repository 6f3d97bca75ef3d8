#include "lycheelanding/rankgroups/rankstatusreceiver.h"

namespace lycheelanding::rankgroups {

namespace {

/// A subscription at a side expires after 3 s.
constexpr std::chrono::milliseconds subscribeInterval{1000};
/// The same for a backend server that has not sent a status update yet.
constexpr std::chrono::milliseconds firstStatusSubscribeInterval{100};

} // namespace

RankStatusReceiver::RankStatusReceiver(asio::io_context &context, forwarding::EntryServer &entry, std::uint16_t port)
    : m_entry(entry), m_port(port), m_socket(context,
                                             [this](const auto &sender, const auto &datagram) {
                                                 if (const auto *status = std::get_if<RankStatus>(&datagram)) {
                                                     onStatus(sender.address().to_string(), *status);
                                                 }
                                             }),
      m_timer(context)
{ }

core::Status RankStatusReceiver::open(const std::string &ip)
{
    if (auto status = m_socket.open({asio::ip::make_address(ip), m_port}); !core::isOk(status)) {
        return status;
    }
    subscribe();
    return core::Done();
}

void RankStatusReceiver::subscribe()
{
    const auto routes = m_entry.routes();
    const auto now = m_clock.now();
    const bool isRegular = now >= m_nextRegular;
    if (isRegular) {
        m_nextRegular = now + subscribeInterval;
    }
    for (const auto &[id, backend] : m_entry.backends().all()) {
        if (!isRegular && !m_entry.backends().isAwaitingStatus(backend, now)) {
            continue;
        }
        const auto *service = routes ? routes->service(backend.service) : nullptr;
        const auto endpoint = forwarding::endpointFrom(backend.address);
        // Only backend servers of a service with a model have a side.
        if (endpoint && service != nullptr && service->model) {
            m_socket.send({endpoint->address(), m_port}, Subscription{});
        }
    }
    m_timer.expires_after(firstStatusSubscribeInterval);
    m_timer.async_wait([this](const auto &error) {
        if (!error) {
            subscribe();
        }
    });
}

void RankStatusReceiver::onStatus(const std::string &ip, const RankStatus &status)
{
    for (const auto &[id, backend] : m_entry.backends().all()) {
        const auto colon = backend.address.find(':');
        if (backend.address.compare(0, colon, ip) != 0) {
            continue;
        }
        const auto &report = status.report;
        const bool isOpen = report.group.isEmpty() || report.isOpen;
        m_entry.updateBackendLoad(id, {report.group, isOpen, report.waiting, report.running, m_clock.now()});
        m_entry.setLiveEntries(status.entries);
        return;
    }
}

} // namespace lycheelanding::rankgroups

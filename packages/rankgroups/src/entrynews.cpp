#include "lycheelanding/rankgroups/entrynews.h"

namespace lycheelanding::rankgroups {

namespace {

/// A side forgets a subscriber after 3 s.
constexpr std::chrono::milliseconds subscribeInterval{1000};
/// The same while the first news of a backend server are awaited.
constexpr std::chrono::milliseconds firstSubscribeInterval{100};

} // namespace

EntryNews::EntryNews(asio::io_context &context, forwarding::EntryServer &entry, std::uint16_t port)
    : m_entry(entry), m_port(port), m_socket(context,
                                             [this](const auto &sender, const auto &datagram) {
                                                 if (const auto *news = std::get_if<RankNews>(&datagram)) {
                                                     onNews(sender.address().to_string(), *news);
                                                 }
                                             }),
      m_timer(context)
{ }

core::Status EntryNews::open(const std::string &ip)
{
    if (auto status = m_socket.open({asio::ip::make_address(ip), m_port}); !core::isOk(status)) {
        return status;
    }
    subscribe();
    return core::Done();
}

void EntryNews::subscribe()
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
        // Only backend servers with a model have a side.
        if (endpoint && service != nullptr && service->model) {
            m_socket.send({endpoint->address(), m_port}, Subscription{});
        }
    }
    m_timer.expires_after(firstSubscribeInterval);
    m_timer.async_wait([this](const auto &error) {
        if (!error) {
            subscribe();
        }
    });
}

void EntryNews::onNews(const std::string &ip, const RankNews &news)
{
    for (const auto &[id, backend] : m_entry.backends().all()) {
        const auto colon = backend.address.find(':');
        if (backend.address.compare(0, colon, ip) != 0) {
            continue;
        }
        const auto &report = news.report;
        const bool isOpen = report.group.isEmpty() || report.isOpen;
        m_entry.updateRankLoad(id, {report.group, isOpen, report.waiting, report.running, m_clock.now()});
        m_entry.setLiveEntries(news.entries);
        return;
    }
}

} // namespace lycheelanding::rankgroups

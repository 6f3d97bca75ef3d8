#include "lycheelanding/rankgroups/rankstatusreceiver.h"

#include <algorithm>

namespace lycheelanding::rankgroups {

using decisions::quarantine::CrashReport;
using decisions::quarantine::ProbeReport;
using decisions::quarantine::ProgressReport;

namespace {

/// A subscription at a side expires after 3 s.
constexpr std::chrono::milliseconds subscribeInterval{1000};
/// The same for a backend server that has not sent a status update yet.
constexpr std::chrono::milliseconds firstStatusSubscribeInterval{100};
/// Reports on held requests are repeated for entries that have started or missed them, at a rate of all entries
/// together that doesn't grow with their number.
constexpr std::chrono::milliseconds repeatIntervalPerEntry{250};
/// Sides that relay each notice.
constexpr std::size_t relayingSides = 3;

} // namespace

RankStatusReceiver::RankStatusReceiver(asio::io_context &context, forwarding::EntryServer &entry, std::uint16_t port)
    : m_entry(entry), m_port(port), m_socket(context,
                                             [this](const auto &sender, const auto &datagram) {
                                                 onDatagram(sender.address().to_string(), datagram);
                                             }),
      m_timer(context)
{
    m_entry.requestGuard().setReportHandlers({[this](const auto &report) { relay(report); },
                                              [this](const auto &report) { relay(report); },
                                              [this](const auto &report) { relay(report); }});
    m_entry.intakeTracker().setReportHandler([this](const auto &report) { relay(report); });
}

void RankStatusReceiver::onDatagram(const std::string &ip, const Datagram &datagram)
{
    if (const auto *status = std::get_if<RankStatus>(&datagram)) {
        onStatus(ip, *status);
    } else if (const auto *crash = std::get_if<CrashNotice>(&datagram)) {
        const auto time = m_clock.now() - std::chrono::milliseconds(crash->ageMs);
        m_entry.requestGuard().apply(CrashReport{crash->backend, crash->features, time});
    } else if (const auto *progress = std::get_if<ProgressNotice>(&datagram)) {
        const auto time = m_clock.now() - std::chrono::milliseconds(progress->ageMs);
        m_entry.requestGuard().apply(ProgressReport{progress->features, time});
    } else if (const auto *probe = std::get_if<ProbeNotice>(&datagram)) {
        const auto time = m_clock.now() - std::chrono::milliseconds(probe->ageMs);
        m_entry.requestGuard().apply(ProbeReport{probe->features, time});
    } else if (const auto *limit = std::get_if<LimitNotice>(&datagram)) {
        const auto time = m_clock.now() - std::chrono::milliseconds(limit->ageMs);
        m_entry.intakeTracker().apply(
            {forwarding::BackendId(limit->backend), limit->startedAtMs, limit->perSecond, time});
    }
}

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
        m_entry.requestGuard().tick();
        m_subscription.demands = m_entry.intake().demandReports(now);
    }
    if (now >= m_nextRepeat) {
        const auto entries = m_position.position() ? m_position.position()->entries : 1;
        m_nextRepeat = now + repeatIntervalPerEntry * entries;
        repeatHeldReports();
    }
    for (const auto &[id, backend] : m_entry.backends().all()) {
        if (!isRegular && !m_entry.backends().isAwaitingStatus(backend, now)) {
            continue;
        }
        const auto *service = routes ? routes->service(backend.service) : nullptr;
        const auto endpoint = forwarding::endpointFrom(backend.address);
        // Only backend servers of a service with a model have a side.
        if (endpoint && service != nullptr && service->model) {
            m_socket.send({endpoint->address(), m_port}, m_subscription);
        }
    }
    m_timer.expires_after(firstStatusSubscribeInterval);
    m_timer.async_wait([this](const auto &error) {
        if (!error) {
            subscribe();
        }
    });
}

std::vector<asio::ip::udp::endpoint> RankStatusReceiver::sides() const
{
    std::vector<asio::ip::udp::endpoint> result;
    const auto routes = m_entry.routes();
    for (const auto &[id, backend] : m_entry.backends().all()) {
        const auto *service = routes ? routes->service(backend.service) : nullptr;
        const auto endpoint = forwarding::endpointFrom(backend.address);
        if (endpoint && service != nullptr && service->model) {
            result.emplace_back(endpoint->address(), m_port);
        }
    }
    return result;
}

void RankStatusReceiver::relay(const Datagram &notice)
{
    const auto receivers = sides();
    const std::size_t count = std::min(receivers.size(), relayingSides);
    // Neighbours in the list may be on one VM or in one data centre.
    const std::size_t distance = std::max<std::size_t>(receivers.size() / relayingSides, 1);
    for (std::size_t index = 0; index < count; ++index) {
        m_socket.send(receivers[(m_nextRelay + index * distance) % receivers.size()], notice);
    }
    ++m_nextRelay;
}

std::uint32_t RankStatusReceiver::ageMsOf(core::TimePoint time) const
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - time);
    return static_cast<std::uint32_t>(std::max<std::int64_t>(age.count(), 0));
}

void RankStatusReceiver::relay(const CrashReport &report)
{
    relay(Datagram(CrashNotice{report.backend, report.features, ageMsOf(report.time)}));
}

void RankStatusReceiver::relay(const ProgressReport &report)
{
    relay(Datagram(ProgressNotice{report.features, ageMsOf(report.time)}));
}

void RankStatusReceiver::relay(const ProbeReport &report)
{
    relay(Datagram(ProbeNotice{report.features, ageMsOf(report.time)}));
}

void RankStatusReceiver::relay(const forwarding::LimitReport &report)
{
    relay(Datagram(LimitNotice{report.backend.text(), report.startedAtMs, report.perSecond, ageMsOf(report.time)}));
}

void RankStatusReceiver::repeatHeldReports()
{
    for (const auto &report : m_entry.requestGuard().heldReports()) {
        relay(report);
    }
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
        m_position.reported({status.entries, status.entryIndex}, m_clock.now());
        m_entry.setPosition(*m_position.position());
        m_entry.intake().demandReported(status.demands, m_clock.now());
        return;
    }
}

} // namespace lycheelanding::rankgroups

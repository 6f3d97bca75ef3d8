#include "shared/peerlinks.h"

#include "lycheelanding/core/random.h"
#include "runtime/workerpool.h"
#include "shared/randomnumbers.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <mutex>
#include <utility>

namespace lycheelanding::daemon::shared {

namespace {

constexpr std::chrono::milliseconds checkInterval(50);
constexpr std::chrono::milliseconds connectTimeout(1000);
/// At the default interval of 500 ms, peers send several heartbeats within this time; a connection that receives no
/// frame is half open.
constexpr std::chrono::milliseconds inactivityTimeout(4000);
constexpr std::chrono::milliseconds minReconnectDelay(50);
constexpr std::chrono::milliseconds maxReconnectDelay(2000);

} // namespace

class PeerLinks::Private : public std::enable_shared_from_this<PeerLinks::Private>
{
public:
    Private(asio::io_context &context, const wire::Hello &localHello, const ConfigurationTable &configuration,
            PeerLinkHandlers handlers);

    void setTargets(const std::vector<PeerTarget> &targets);
    void closeAll();
    wire::PeerConnectionPointer find(const core::VmId &vm) const;
    std::optional<core::Incarnation> incarnationOf(const core::VmId &vm) const;
    std::vector<wire::PeerConnectionPointer> all() const;
    std::vector<wire::PeerConnectionPointer> retired() const;

private:
    struct Peer
    {
        PeerTarget target;
        wire::PeerConnectionPointer link;
        std::optional<core::Incarnation> incarnation;
        std::uint32_t failures = 0;
        core::TimePoint nextAttempt;
        core::TimePoint lastReceived;
    };

    std::vector<core::VmId> replaceTargets(const std::vector<PeerTarget> &targets);
    Peer takePeer(const PeerTarget &target);
    void check();
    void connectDue();
    void closeUnused();
    void abortInactive();
    wire::PeerHandlers handlersFor(const core::VmId &vm);
    void recordFrame(const core::VmId &vm, const wire::PeerConnectionPointer &link);
    void received(const core::VmId &vm, const wire::PeerConnectionPointer &link, const wire::Frame &frame);
    void lost(const core::VmId &vm, const wire::PeerConnectionPointer &link, const core::Error &error);
    core::Duration reconnectDelayAfter(std::uint32_t failures);

    asio::io_context &m_context;
    const wire::Hello m_localHello;
    const ConfigurationTable &m_configuration;
    PeerLinkHandlers m_handlers;
    core::SystemClock m_clock;
    mutable std::mutex m_mutex;
    std::map<core::VmId, Peer> m_peers;
    /// Removed targets whose connections are not closed yet.
    std::vector<Peer> m_retired;
    core::RandomSequence m_random;
    runtime::RepeatingTimer m_timer;
};

PeerLinks::Private::Private(asio::io_context &context, const wire::Hello &localHello,
                            const ConfigurationTable &configuration, PeerLinkHandlers handlers)
    : m_context(context), m_localHello(localHello), m_configuration(configuration), m_handlers(std::move(handlers)),
      m_random(randomNumber()), m_timer(context, checkInterval, [this] { check(); })
{ }

void PeerLinks::Private::setTargets(const std::vector<PeerTarget> &targets)
{
    for (const auto &vm : replaceTargets(targets)) {
        if (m_handlers.onRetired) {
            m_handlers.onRetired(vm);
        }
    }
    closeUnused();
    connectDue();
}

std::vector<core::VmId> PeerLinks::Private::replaceTargets(const std::vector<PeerTarget> &targets)
{
    const std::scoped_lock lock(m_mutex);
    std::map<core::VmId, Peer> next;
    for (const auto &target : targets) {
        next.emplace(target.vm, takePeer(target));
    }
    std::vector<core::VmId> removed;
    for (auto &[vm, peer] : m_peers) {
        if (peer.link) {
            removed.push_back(vm);
            m_retired.push_back(std::move(peer));
        }
    }
    m_peers = std::move(next);
    return removed;
}

/// Takes the peer of the target with its connection if there is one; the mutex is locked.
PeerLinks::Private::Peer PeerLinks::Private::takePeer(const PeerTarget &target)
{
    const auto known = m_peers.find(target.vm);
    if (known != m_peers.end() && known->second.target == target) {
        return m_peers.extract(known).mapped();
    }
    const auto returned = std::find_if(m_retired.begin(), m_retired.end(),
                                       [&target](const auto &peer) { return peer.target == target; });
    if (returned == m_retired.end()) {
        return {target, nullptr, std::nullopt, 0, m_clock.now(), m_clock.now()};
    }
    Peer peer = std::move(*returned);
    m_retired.erase(returned);
    return peer;
}

void PeerLinks::Private::closeUnused()
{
    for (const auto &link : retired()) {
        if (!m_handlers.isInUse || !m_handlers.isInUse(link)) {
            link->close();
        }
    }
}

void PeerLinks::Private::closeAll()
{
    setTargets({});
    for (const auto &link : retired()) {
        link->close();
    }
}

std::vector<wire::PeerConnectionPointer> PeerLinks::Private::retired() const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<wire::PeerConnectionPointer> links;
    for (const auto &peer : m_retired) {
        links.push_back(peer.link);
    }
    return links;
}

void PeerLinks::Private::check()
{
    abortInactive();
    closeUnused();
    connectDue();
}

void PeerLinks::Private::abortInactive()
{
    std::vector<wire::PeerConnectionPointer> inactive;
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto &[vm, peer] : m_peers) {
            if (peer.link && m_clock.now() - peer.lastReceived > inactivityTimeout) {
                inactive.push_back(peer.link);
            }
        }
        for (const auto &peer : m_retired) {
            if (m_clock.now() - peer.lastReceived > inactivityTimeout) {
                inactive.push_back(peer.link);
            }
        }
    }
    for (const auto &link : inactive) {
        link->abort({core::ErrorKind::PeerUnreachable, "the peer is silent"});
    }
}

void PeerLinks::Private::connectDue()
{
    const std::scoped_lock lock(m_mutex);
    for (auto &[vm, peer] : m_peers) {
        if (!peer.link && peer.nextAttempt <= m_clock.now()) {
            peer.lastReceived = m_clock.now();
            peer.link = wire::PeerConnection::connect(m_context, peer.target.endpoint, connectTimeout, handlersFor(vm));
        }
    }
}

wire::PeerHandlers PeerLinks::Private::handlersFor(const core::VmId &vm)
{
    // A connection may outlive this object: a closed connection first writes its remaining frames.
    const auto weak = weak_from_this();
    wire::PeerHandlers handlers;
    handlers.onOpened = [weak](const auto &link) {
        if (const auto self = weak.lock()) {
            link->send(wire::makeFrame(self->m_localHello, self->m_configuration.version()));
        }
    };
    handlers.onFrame = [weak, vm](const auto &link, const auto &frame) {
        if (const auto self = weak.lock()) {
            self->received(vm, link, frame);
        }
    };
    handlers.onClosed = [weak, vm](const auto &link, const auto &error) {
        if (const auto self = weak.lock()) {
            self->lost(vm, link, error);
        }
    };
    return handlers;
}

void PeerLinks::Private::recordFrame(const core::VmId &vm, const wire::PeerConnectionPointer &link)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_peers.find(vm);
    if (found != m_peers.end() && found->second.link == link) {
        found->second.lastReceived = m_clock.now();
        return;
    }
    for (auto &peer : m_retired) {
        if (peer.link == link) {
            peer.lastReceived = m_clock.now();
        }
    }
}

void PeerLinks::Private::received(const core::VmId &vm, const wire::PeerConnectionPointer &link,
                                  const wire::Frame &frame)
{
    recordFrame(vm, link);
    if (frame.type != wire::MessageType::Hello) {
        m_handlers.onFrame(vm, link, frame);
        return;
    }
    const auto hello = wire::messageOf<wire::Hello>(frame);
    if (!core::isOk(hello)) {
        link->closeWith(core::errorOf(hello));
        return;
    }
    if (core::valueOf(hello).vm != vm) {
        // The address now belongs to another VM; the VM list will name the new address.
        link->closeWith({core::ErrorKind::ProtocolMismatch, "another VM answers at this address"});
        return;
    }
    {
        const std::scoped_lock lock(m_mutex);
        const auto found = m_peers.find(vm);
        if (found == m_peers.end() || found->second.link != link) {
            return;
        }
        found->second.incarnation = core::valueOf(hello).incarnation;
        found->second.failures = 0;
    }
    m_handlers.onHelloReceived(vm, link, core::valueOf(hello));
    // The frame also carries the peer's configuration version, which may be higher than the local one.
    m_handlers.onFrame(vm, link, frame);
}

void PeerLinks::Private::lost(const core::VmId &vm, const wire::PeerConnectionPointer &link, const core::Error &error)
{
    {
        const std::scoped_lock lock(m_mutex);
        const auto found = m_peers.find(vm);
        if (found != m_peers.end() && found->second.link == link) {
            auto &peer = found->second;
            peer.link = nullptr;
            peer.incarnation.reset();
            peer.nextAttempt = m_clock.now() + reconnectDelayAfter(peer.failures++);
        }
        std::erase_if(m_retired, [&link](const auto &peer) { return peer.link == link; });
    }
    m_handlers.onLost(vm, link, error);
}

core::Duration PeerLinks::Private::reconnectDelayAfter(std::uint32_t failures)
{
    constexpr std::uint32_t maxDoublings = 6;
    const auto delay = std::min(minReconnectDelay * (1U << std::min(failures, maxDoublings)), maxReconnectDelay);
    const double jitter = 0.5 + m_random.nextUnit();
    return std::chrono::duration_cast<core::Duration>(delay * jitter);
}

wire::PeerConnectionPointer PeerLinks::Private::find(const core::VmId &vm) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_peers.find(vm);
    return found != m_peers.end() && found->second.incarnation ? found->second.link : nullptr;
}

std::optional<core::Incarnation> PeerLinks::Private::incarnationOf(const core::VmId &vm) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_peers.find(vm);
    return found == m_peers.end() ? std::nullopt : found->second.incarnation;
}

std::vector<wire::PeerConnectionPointer> PeerLinks::Private::all() const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<wire::PeerConnectionPointer> links;
    for (const auto &[vm, peer] : m_peers) {
        if (peer.incarnation) {
            links.push_back(peer.link);
        }
    }
    return links;
}

PeerLinks::PeerLinks(asio::io_context &context, const wire::Hello &localHello, const ConfigurationTable &configuration,
                     PeerLinkHandlers handlers)
    : m_d(std::make_shared<Private>(context, localHello, configuration, std::move(handlers)))
{ }

PeerLinks::~PeerLinks() = default;

void PeerLinks::setTargets(const std::vector<PeerTarget> &targets)
{
    m_d->setTargets(targets);
}

void PeerLinks::sendToAll(const wire::Frame &frame)
{
    for (const auto &link : all()) {
        link->send(frame);
    }
    for (const auto &link : m_d->retired()) {
        link->send(frame);
    }
}

void PeerLinks::closeAll()
{
    m_d->closeAll();
}

wire::PeerConnectionPointer PeerLinks::find(const core::VmId &vm) const
{
    return m_d->find(vm);
}

std::optional<core::Incarnation> PeerLinks::incarnationOf(const core::VmId &vm) const
{
    return m_d->incarnationOf(vm);
}

std::vector<wire::PeerConnectionPointer> PeerLinks::all() const
{
    return m_d->all();
}

} // namespace lycheelanding::daemon::shared

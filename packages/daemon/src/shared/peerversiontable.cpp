#include "shared/peerversiontable.h"

namespace lycheelanding::daemon::shared {

namespace {

constexpr std::chrono::seconds inactivityTimeout(60);

} // namespace

void PeerVersionTable::helloReceived(const wire::Hello &hello)
{
    const std::scoped_lock lock(m_mutex);
    auto &peer = m_peers[hello.vm];
    peer.vm = hello.vm;
    peer.dataCentre = hello.dataCentre;
    peer.role = hello.role;
    peer.lastSeen = m_clock.now();
}

void PeerVersionTable::versionReceived(const core::VmId &vm, core::ConfigurationVersion version)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_peers.find(vm);
    if (found != m_peers.end()) {
        found->second.version = version;
        found->second.lastSeen = m_clock.now();
    }
}

void PeerVersionTable::removeInactive()
{
    const std::scoped_lock lock(m_mutex);
    const auto limit = m_clock.now() - inactivityTimeout;
    std::erase_if(m_peers, [limit](const auto &item) { return item.second.lastSeen < limit; });
}

std::vector<PeerVersion> PeerVersionTable::all() const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<PeerVersion> peers;
    peers.reserve(m_peers.size());
    for (const auto &[vm, peer] : m_peers) {
        peers.push_back(peer);
    }
    return peers;
}

} // namespace lycheelanding::daemon::shared

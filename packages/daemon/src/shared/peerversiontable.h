#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"
#include "lycheelanding/wire/messages.h"

#include <map>
#include <mutex>
#include <vector>

namespace lycheelanding::daemon::shared {

/// The configuration version in the last frame received from a peer.
struct PeerVersion
{
    core::VmId vm;
    core::DataCentreId dataCentre;
    wire::Role role = wire::Role::Side;
    core::ConfigurationVersion version;
    core::TimePoint lastSeen;
};

/// The configuration versions of the peers that send frames to this process.
class PeerVersionTable
{
public:
    void helloReceived(const wire::Hello &hello);
    void versionReceived(const core::VmId &vm, core::ConfigurationVersion version);
    /// Removes peers from which nothing was received within the inactivity timeout.
    void removeInactive();

    std::vector<PeerVersion> all() const;

private:
    core::SystemClock m_clock;
    mutable std::mutex m_mutex;
    std::map<core::VmId, PeerVersion> m_peers;
};

} // namespace lycheelanding::daemon::shared

#pragma once

#include "lycheelanding/wire/messages.h"
#include "lycheelanding/wire/peerconnection.h"

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace lycheelanding::daemon::shared {

/// The connections that peers have opened to this process, with the Hello that each has sent.
class AcceptedLinks
{
public:
    void opened(const wire::PeerConnectionPointer &link);
    void helloReceived(const wire::PeerConnectionPointer &link, const wire::Hello &hello);
    void closed(const wire::PeerConnectionPointer &link);
    void sendToAll(const wire::Frame &frame);
    void closeAll();

    std::optional<wire::Role> roleOf(const wire::PeerConnectionPointer &link) const;
    /// The VM at the other end, once it has introduced itself.
    std::optional<core::VmId> vmOf(const wire::PeerConnectionPointer &link) const;
    /// An open connection to a peer that has introduced itself, or null.
    wire::PeerConnectionPointer find(const core::VmId &vm) const;
    std::vector<wire::PeerConnectionPointer> all() const;

private:
    mutable std::mutex m_mutex;
    std::map<wire::PeerConnectionPointer, std::optional<wire::Hello>> m_links;
};

} // namespace lycheelanding::daemon::shared

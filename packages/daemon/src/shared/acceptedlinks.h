#pragma once

#include "lycheelanding/wire/messages.h"
#include "lycheelanding/wire/peerconnection.h"

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace lycheelanding::daemon::shared {

/// The connections that peers have opened to this process, with the Hello that each peer has sent.
class AcceptedLinks
{
public:
    void opened(const wire::PeerConnectionPointer &link);
    void helloReceived(const wire::PeerConnectionPointer &link, const wire::Hello &hello);
    void closed(const wire::PeerConnectionPointer &link);
    void sendToAll(const wire::Frame &frame);
    void closeAll();

    /// The role of the peer; none until its Hello has been received.
    std::optional<wire::Role> roleOf(const wire::PeerConnectionPointer &link) const;
    /// The VM of the peer; none until its Hello has been received.
    std::optional<core::VmId> vmOf(const wire::PeerConnectionPointer &link) const;
    /// An open connection to a peer that has sent its Hello, or null.
    wire::PeerConnectionPointer find(const core::VmId &vm) const;
    std::vector<wire::PeerConnectionPointer> all() const;

private:
    mutable std::mutex m_mutex;
    std::map<wire::PeerConnectionPointer, std::optional<wire::Hello>> m_links;
};

} // namespace lycheelanding::daemon::shared

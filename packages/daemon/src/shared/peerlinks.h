#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"
#include "lycheelanding/wire/messages.h"
#include "lycheelanding/wire/peerconnection.h"
#include "shared/configurationtable.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace lycheelanding::daemon::shared {

/// A peer to which this process keeps a connection.
struct PeerTarget
{
    core::VmId vm;
    asio::ip::tcp::endpoint endpoint;

    bool operator==(const PeerTarget &) const = default;
};

/// Called on the connection's strand, with no lock held.
struct PeerLinkHandlers
{
    std::function<void(const core::VmId &, const wire::PeerConnectionPointer &, const wire::Hello &)> onHelloReceived;
    std::function<void(const core::VmId &, const wire::PeerConnectionPointer &, const wire::Frame &)> onFrame;
    std::function<void(const core::VmId &, const wire::PeerConnectionPointer &, const core::Error &)> onLost;
    /// Whether messages of the peer are still expected on the connection. Optional; without it no connection outlives
    /// its target.
    std::function<bool(const wire::PeerConnectionPointer &)> isInUse;
    /// The target of an open connection was removed. Optional.
    std::function<void(const core::VmId &)> onRetired;
};

/// Keeps a connection open to each peer of a set. Lost connections are reopened after an exponential delay with
/// jitter.
class PeerLinks
{
public:
    PeerLinks(asio::io_context &context, const wire::Hello &localHello, const ConfigurationTable &configuration,
              PeerLinkHandlers handlers);
    ~PeerLinks();
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;

    /// Replaces the set of peers: opens connections to new targets and closes those to removed targets once they are no
    /// longer in use. Until then find() does not return them.
    void setTargets(const std::vector<PeerTarget> &targets);
    void sendToAll(const wire::Frame &frame);
    void closeAll();

    /// The open connection to a peer that has sent its Hello, or null.
    wire::PeerConnectionPointer find(const core::VmId &vm) const;
    /// The incarnation of the peer at the other end of the open connection; none until its Hello has been received.
    std::optional<core::Incarnation> incarnationOf(const core::VmId &vm) const;
    std::vector<wire::PeerConnectionPointer> all() const;

private:
    class Private;
    /// Shared because the handlers of its connections may run after this object is destroyed.
    std::shared_ptr<Private> m_d;
};

} // namespace lycheelanding::daemon::shared

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

/// A process that this one keeps a connection to.
struct PeerTarget
{
    core::VmId vm;
    asio::ip::tcp::endpoint endpoint;

    bool operator==(const PeerTarget &) const = default;
};

/// Called on the connection's strand, without a lock.
struct PeerLinkHandlers
{
    std::function<void(const core::VmId &, const wire::PeerConnectionPointer &, const wire::Hello &)> onHelloReceived;
    std::function<void(const core::VmId &, const wire::PeerConnectionPointer &, const wire::Frame &)> onFrame;
    std::function<void(const core::VmId &, const wire::PeerConnectionPointer &, const core::Error &)> onLost;
};

/// Keeps a connection open to each of a set of peers; lost ones are opened again after a growing, jittered pause.
class PeerLinks
{
public:
    PeerLinks(asio::io_context &context, const wire::Hello &localHello, const ConfigurationTable &configuration,
              PeerLinkHandlers handlers);
    ~PeerLinks();
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;

    /// Opens connections to new targets and closes those to targets no longer named.
    void setTargets(const std::vector<PeerTarget> &targets);
    void sendToAll(const wire::Frame &frame);
    void closeAll();

    /// The open connection to a peer that has introduced itself, or null.
    wire::PeerConnectionPointer find(const core::VmId &vm) const;
    /// The life of the peer at the other end of the open connection.
    std::optional<core::Incarnation> incarnationOf(const core::VmId &vm) const;
    std::vector<wire::PeerConnectionPointer> all() const;

private:
    class Private;
    /// Kept alive by the calls of its connections, which may end later than this object.
    std::shared_ptr<Private> m_d;
};

} // namespace lycheelanding::daemon::shared

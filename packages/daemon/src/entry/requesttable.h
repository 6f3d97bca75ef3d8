#pragma once

#include "lycheelanding/core/ids.h"
#include "lycheelanding/wire/framecodec.h"
#include "lycheelanding/wire/peerconnection.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace lycheelanding::daemon::entry {

class ForwardedRequest;

/// The attempts of this entry that await frames of a side.
class RequestTable
{
public:
    explicit RequestTable(core::Incarnation incarnation);

    /// Registers an attempt that is sent over `link` under a new request number.
    wire::RequestKey add(const std::shared_ptr<ForwardedRequest> &request, const wire::PeerConnectionPointer &link);
    void remove(const wire::RequestKey &key);
    /// Passes an answer frame to its request. Ignores frames of unknown requests, of other incarnations, and from
    /// another link than the one the attempt was sent over.
    void dispatch(const wire::PeerConnectionPointer &link, const wire::Frame &frame);
    /// Notifies all requests that were sent over `link` of its loss.
    void linkLost(const wire::PeerConnectionPointer &link, const core::Error &error);

    /// Whether a request awaits frames on the connection.
    bool isInUse(const wire::PeerConnectionPointer &link) const;
    std::size_t size() const;

private:
    struct Attempt
    {
        std::shared_ptr<ForwardedRequest> request;
        wire::PeerConnectionPointer link;
    };

    template <typename Message>
    void dispatchAs(const wire::PeerConnectionPointer &link, const wire::Frame &frame);
    std::shared_ptr<ForwardedRequest> find(const wire::PeerConnectionPointer &link, const wire::RequestKey &key) const;

    const core::Incarnation m_incarnation;
    mutable std::mutex m_mutex;
    core::RequestNumber m_lastNumber;
    std::map<core::RequestNumber, Attempt> m_attempts;
};

} // namespace lycheelanding::daemon::entry

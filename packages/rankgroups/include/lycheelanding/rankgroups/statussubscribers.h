#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/rankgroups/rankdatagrams.h"

#include <asio/ip/udp.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace lycheelanding::rankgroups {

enum class SubscriberKind : std::uint8_t {
    Entry,
    /// Leader of the side's group.
    Leader,
    /// Leader of another group, which must learn that the side's rank is not in its group.
    OtherLeader,
};

struct AddressedStatus
{
    asio::ip::udp::endpoint receiver;
    RankStatus status;
};

/// The entries and leaders that subscribe to a side, and the status updates that are due to them.
class StatusSubscribers
{
public:
    /// `demands`: of an entry.
    void subscribed(const asio::ip::udp::endpoint &subscriber, SubscriberKind kind, core::TimePoint now,
                    std::vector<decisions::intake::ServiceDemand> demands = {});
    /// Whether the leader of the side's group subscribes.
    bool hasLeader() const;
    /// The subscribed entries but for `excluded`.
    std::vector<asio::ip::udp::endpoint> entriesExcept(const asio::ip::udp::endpoint &excluded) const;
    /// The status updates to send now, in this order. Ends subscriptions that have expired. `latest` has the report and
    /// the experts that the rank holds in the report's map.
    std::vector<AddressedStatus> due(const RankStatus &latest, core::TimePoint now);

private:
    struct Subscriber
    {
        SubscriberKind kind = SubscriberKind::Entry;
        core::TimePoint expiresAt;
        core::TimePoint nextStatus;
        std::vector<decisions::intake::ServiceDemand> demands;
        /// Only for a leader: the report that was sent last, and whether it has been sent again.
        std::optional<RankReport> sentReport;
        bool isRepeated = false;
        /// Generation and map of the held experts that were sent last, and when they are repeated.
        std::optional<std::pair<core::Generation, core::MapVersion>> sentHeldExperts;
        core::TimePoint nextHeldExperts;
    };

    std::vector<decisions::intake::TotalDemand> totalDemands() const;
    static std::optional<RankStatus> leaderStatus(Subscriber &leader, const RankStatus &latest, core::TimePoint now);

    std::map<asio::ip::udp::endpoint, Subscriber> m_subscribers;
};

} // namespace lycheelanding::rankgroups

#include "lycheelanding/rankgroups/statussubscribers.h"

#include <algorithm>

namespace lycheelanding::rankgroups {

namespace {

/// Minimum interval between two status updates to an entry: the load of an engine changes with each request, and an
/// engine finishes some requests per second.
constexpr std::chrono::milliseconds statusInterval{100};
constexpr std::chrono::seconds subscriptionTimeToLive{3};

} // namespace

void StatusSubscribers::subscribed(const asio::ip::udp::endpoint &subscriber, bool isLeader, core::TimePoint now)
{
    auto &item = m_subscribers[subscriber];
    item.isLeader = isLeader;
    item.expiresAt = now + subscriptionTimeToLive;
}

bool StatusSubscribers::hasLeader() const
{
    return std::any_of(m_subscribers.begin(), m_subscribers.end(),
                       [](const auto &item) { return item.second.isLeader; });
}

std::vector<AddressedStatus> StatusSubscribers::due(const RankStatus &latest, core::TimePoint now)
{
    std::erase_if(m_subscribers, [now](const auto &item) { return now >= item.second.expiresAt; });
    const auto entries = static_cast<std::uint32_t>(std::count_if(
        m_subscribers.begin(), m_subscribers.end(), [](const auto &item) { return !item.second.isLeader; }));
    std::vector<AddressedStatus> result;
    for (auto &[receiver, subscriber] : m_subscribers) {
        if (subscriber.isLeader) {
            result.push_back({receiver, {latest.report, entries, latest.counts, latest.heldExperts}});
        } else if (now >= subscriber.nextStatus) {
            subscriber.nextStatus = now + statusInterval;
            result.push_back({receiver, {latest.report, entries, {}, {}}});
        }
    }
    return result;
}

} // namespace lycheelanding::rankgroups

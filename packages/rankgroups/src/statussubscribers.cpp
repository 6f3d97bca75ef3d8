#include "lycheelanding/rankgroups/statussubscribers.h"

#include <algorithm>

namespace lycheelanding::rankgroups {

namespace {

/// Minimum interval between two status updates to an entry: the load of an engine changes with each request, and an
/// engine finishes some requests per second.
constexpr std::chrono::milliseconds statusInterval{100};
constexpr std::chrono::seconds subscriptionTimeToLive{3};
/// Interval of repeating the held experts to a leader, which may have missed them.
constexpr std::chrono::seconds heldExpertsInterval{1};

} // namespace

void StatusSubscribers::subscribed(const asio::ip::udp::endpoint &subscriber, SubscriberKind kind, core::TimePoint now)
{
    auto &item = m_subscribers[subscriber];
    if (item.kind != kind) {
        item.sentHeldExperts.reset();
    }
    item.kind = kind;
    item.expiresAt = now + subscriptionTimeToLive;
}

bool StatusSubscribers::hasLeader() const
{
    return std::any_of(m_subscribers.begin(), m_subscribers.end(),
                       [](const auto &item) { return item.second.kind == SubscriberKind::Leader; });
}

std::vector<AddressedStatus> StatusSubscribers::due(const RankStatus &latest, core::TimePoint now)
{
    std::erase_if(m_subscribers, [now](const auto &item) { return now >= item.second.expiresAt; });
    const auto entries
        = static_cast<std::uint32_t>(std::count_if(m_subscribers.begin(), m_subscribers.end(), [](const auto &item) {
              return item.second.kind == SubscriberKind::Entry;
          }));
    std::vector<AddressedStatus> result;
    for (auto &[receiver, subscriber] : m_subscribers) {
        if (subscriber.kind != SubscriberKind::Leader && now >= subscriber.nextStatus) {
            subscriber.nextStatus = now + statusInterval;
            result.push_back({receiver, {latest.report, entries, {}, {}}});
        }
    }
    // The counts for a leader take many times the bytes of a status.
    for (auto &[receiver, subscriber] : m_subscribers) {
        if (subscriber.kind == SubscriberKind::Leader) {
            result.push_back({receiver, leaderStatus(subscriber, latest, now)});
            result.back().status.entries = entries;
        }
    }
    return result;
}

RankStatus StatusSubscribers::leaderStatus(Subscriber &leader, const RankStatus &latest, core::TimePoint now)
{
    const auto current = std::pair(latest.report.state.generation, latest.report.state.map);
    const bool isDue = leader.sentHeldExperts != current || now >= leader.nextHeldExperts;
    if (latest.heldExperts.empty() || !isDue) {
        return {latest.report, 0, latest.counts, {}};
    }
    leader.sentHeldExperts = current;
    leader.nextHeldExperts = now + heldExpertsInterval;
    return {latest.report, 0, latest.counts, latest.heldExperts};
}

} // namespace lycheelanding::rankgroups

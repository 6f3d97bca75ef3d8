#include "lycheelanding/rankgroups/statussubscribers.h"

#include <algorithm>
#include <utility>

namespace lycheelanding::rankgroups {

namespace {

/// Minimum interval between two status updates to an entry: the load of an engine changes with each request, and an
/// engine finishes some requests per second.
constexpr std::chrono::milliseconds statusInterval{100};
constexpr std::chrono::milliseconds otherLeaderStatusInterval{1000};
/// Interval of status updates to the leader while nothing changes that it decides by: with updates at each read of the
/// engine, 95 ranks used up half of the leader's link.
constexpr std::chrono::milliseconds leaderStatusInterval{200};
constexpr std::chrono::seconds subscriptionTimeToLive{3};
/// Interval of repeating the held experts to a leader, which may have missed them.
constexpr std::chrono::seconds heldExpertsInterval{1};

/// Whether a leader decides the same by both reports. All ranks begin a step together, so the leader knows the step
/// from its own rank; it does not use the load.
bool isSameForLeader(const RankReport &left, const RankReport &right)
{
    auto leftState = left.state;
    leftState.step = right.state.step;
    return leftState == right.state && left.group == right.group && left.rank == right.rank
        && left.groupSize == right.groupSize && left.isOpen == right.isOpen
        && left.installedFencingToken == right.installedFencingToken;
}

} // namespace

void StatusSubscribers::subscribed(const asio::ip::udp::endpoint &subscriber, SubscriberKind kind, core::TimePoint now,
                                   std::vector<decisions::intake::ServiceDemand> demands)
{
    auto &item = m_subscribers[subscriber];
    if (item.kind != kind) {
        item.sentHeldExperts.reset();
    }
    item.kind = kind;
    item.expiresAt = now + subscriptionTimeToLive;
    item.demands = std::move(demands);
}

std::vector<decisions::intake::TotalDemand> StatusSubscribers::totalDemands() const
{
    std::map<core::ServiceId, decisions::intake::TotalDemand> totals;
    for (const auto &[address, subscriber] : m_subscribers) {
        for (const auto &demand : subscriber.demands) {
            auto &total = totals[demand.service];
            total.service = demand.service;
            total.perSecond += demand.perSecond;
            ++total.entries;
        }
    }
    std::vector<decisions::intake::TotalDemand> result;
    result.reserve(totals.size());
    for (auto &[service, total] : totals) {
        result.push_back(std::move(total));
    }
    return result;
}

bool StatusSubscribers::hasLeader() const
{
    return std::any_of(m_subscribers.begin(), m_subscribers.end(),
                       [](const auto &item) { return item.second.kind == SubscriberKind::Leader; });
}

std::vector<asio::ip::udp::endpoint> StatusSubscribers::entriesExcept(const asio::ip::udp::endpoint &excluded) const
{
    std::vector<asio::ip::udp::endpoint> entries;
    for (const auto &[address, subscriber] : m_subscribers) {
        if (subscriber.kind == SubscriberKind::Entry && address != excluded) {
            entries.push_back(address);
        }
    }
    return entries;
}

std::vector<AddressedStatus> StatusSubscribers::due(const RankStatus &latest, core::TimePoint now)
{
    std::erase_if(m_subscribers, [now](const auto &item) { return now >= item.second.expiresAt; });
    const auto entries
        = static_cast<std::uint32_t>(std::count_if(m_subscribers.begin(), m_subscribers.end(), [](const auto &item) {
              return item.second.kind == SubscriberKind::Entry;
          }));
    std::vector<AddressedStatus> result;
    const auto demands = totalDemands();
    std::uint32_t entryIndex = 0;
    for (auto &[receiver, subscriber] : m_subscribers) {
        const bool isEntry = subscriber.kind == SubscriberKind::Entry;
        if (subscriber.kind != SubscriberKind::Leader && now >= subscriber.nextStatus) {
            subscriber.nextStatus = now + (isEntry ? statusInterval : otherLeaderStatusInterval);
            result.push_back({receiver, {latest.report, entries, {}, isEntry ? entryIndex : 0, demands}});
        }
        entryIndex += isEntry ? 1 : 0;
    }
    // The held experts for a leader take many times the bytes of a status.
    for (auto &[receiver, subscriber] : m_subscribers) {
        if (subscriber.kind != SubscriberKind::Leader) {
            continue;
        }
        if (auto status = leaderStatus(subscriber, latest, now)) {
            status->entries = entries;
            result.push_back({receiver, std::move(*status)});
        }
    }
    return result;
}

std::optional<RankStatus> StatusSubscribers::leaderStatus(Subscriber &leader, const RankStatus &latest,
                                                          core::TimePoint now)
{
    const auto current = std::pair(latest.report.state.generation, latest.report.state.map);
    const bool isHeldExpertsDue
        = !latest.heldExperts.empty() && (leader.sentHeldExperts != current || now >= leader.nextHeldExperts);
    const bool isChanged = !leader.sentReport || !isSameForLeader(*leader.sentReport, latest.report);
    // A change is sent twice, since a datagram may be lost and the leader may wait for it.
    const bool isReportDue = isChanged || !leader.isRepeated || now >= leader.nextStatus;
    if (!isReportDue && !isHeldExpertsDue) {
        return std::nullopt;
    }
    leader.isRepeated = !isChanged;
    leader.sentReport = latest.report;
    leader.nextStatus = now + leaderStatusInterval;
    if (!isHeldExpertsDue) {
        return RankStatus{latest.report, 0, {}};
    }
    leader.sentHeldExperts = current;
    leader.nextHeldExperts = now + heldExpertsInterval;
    return RankStatus{latest.report, 0, latest.heldExperts};
}

} // namespace lycheelanding::rankgroups

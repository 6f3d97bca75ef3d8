#include "lycheelanding/rankgroups/membersubscriptions.h"

#include <algorithm>
#include <chrono>

namespace lycheelanding::rankgroups {

namespace {

constexpr std::chrono::milliseconds memberInterval{300};
constexpr std::chrono::milliseconds otherGroupInterval{1000};
/// Time without a status after which a side of another group is treated like an unknown one.
constexpr std::chrono::seconds otherGroupTimeToLive{4};
/// Three lost statuses in a row.
constexpr std::chrono::milliseconds maxMemberInactivity{700};

} // namespace

void MemberSubscriptions::statusReceived(const std::string &ip, bool isMember, core::TimePoint now)
{
    auto &side = m_sides[ip];
    if (isMember && side.otherGroupSeenAt) {
        side.nextSubscription = now;
    }
    side.otherGroupSeenAt = isMember ? std::nullopt : std::optional(now);
    side.memberSeenAt = isMember ? std::optional(now) : std::nullopt;
}

std::vector<std::string> MemberSubscriptions::due(const std::vector<std::string> &sides, core::TimePoint now)
{
    std::erase_if(m_sides, [&sides](const auto &item) {
        return std::find(sides.begin(), sides.end(), item.first) == sides.end();
    });
    std::vector<std::string> result;
    for (const auto &ip : sides) {
        auto &side = m_sides[ip];
        if (now < side.nextSubscription) {
            continue;
        }
        side.nextSubscription = now + (isInOtherGroup(side, now) ? otherGroupInterval : memberInterval);
        result.push_back(ip);
    }
    return result;
}

bool MemberSubscriptions::isInOtherGroup(const std::string &ip, core::TimePoint now) const
{
    const auto found = m_sides.find(ip);
    return found != m_sides.end() && isInOtherGroup(found->second, now);
}

bool MemberSubscriptions::isInOtherGroup(const Side &side, core::TimePoint now)
{
    return side.otherGroupSeenAt && now - *side.otherGroupSeenAt < otherGroupTimeToLive;
}

std::vector<std::string> MemberSubscriptions::members() const
{
    std::vector<std::string> result;
    for (const auto &[ip, side] : m_sides) {
        if (side.memberSeenAt) {
            result.push_back(ip);
        }
    }
    return result;
}

std::set<std::string> MemberSubscriptions::unresponsive(core::TimePoint now) const
{
    std::set<std::string> result;
    for (const auto &[ip, side] : m_sides) {
        if (side.memberSeenAt && now - *side.memberSeenAt >= maxMemberInactivity) {
            result.insert(ip);
        }
    }
    return result;
}

} // namespace lycheelanding::rankgroups

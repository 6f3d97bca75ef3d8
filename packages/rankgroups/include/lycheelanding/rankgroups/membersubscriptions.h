#pragma once

#include "lycheelanding/core/clock.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheelanding::rankgroups {

/// To which sides of its service a leader sends a subscription, and when. Members of its group learn from it who leads
/// them; a side whose rank is in another group only has to be asked now and then whether that is still so.
class MemberSubscriptions
{
public:
    /// A status of the side at `ip` has arrived. `isMember` tells whether its rank is in the leader's group.
    void statusReceived(const std::string &ip, bool isMember, core::TimePoint now);
    /// Those of `sides` that get a subscription now.
    std::vector<std::string> due(const std::vector<std::string> &sides, core::TimePoint now);
    /// Whether the side's rank was in another group a short time ago.
    bool isInOtherGroup(const std::string &ip, core::TimePoint now) const;
    /// Sides whose rank is in the leader's group, as far as known.
    std::vector<std::string> members() const;
    /// Members of which nothing has been heard for some time.
    std::set<std::string> unresponsive(core::TimePoint now) const;

private:
    struct Side
    {
        core::TimePoint nextSubscription;
        /// When it was last seen in another group; never if it is a member.
        std::optional<core::TimePoint> otherGroupSeenAt = std::nullopt;
        /// Last status as a member.
        std::optional<core::TimePoint> memberSeenAt = std::nullopt;
    };

    static bool isInOtherGroup(const Side &side, core::TimePoint now);

    std::map<std::string, Side> m_sides;
};

} // namespace lycheelanding::rankgroups

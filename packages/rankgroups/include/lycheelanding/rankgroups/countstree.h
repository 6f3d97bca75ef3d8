#pragma once

#include "lycheelanding/core/clock.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lycheelanding::rankgroups {

/// Where a member of a group sends its counts, and how often.
struct CountsRoute
{
    /// IP address of the collector; empty for the leader. A collector has its own address.
    std::string collector;
    core::Duration interval{0};
};

/// The routes of the counts of a group to its leader. In a large group members send to collectors, each of which sends
/// the sum of some members' counts: both directions grow with the square root of the group, where counts sent straight
/// to the leader would fill its link.
class CountsTree
{
public:
    /// `cells` is the number of counts of a rank; `linkBitsPerSecond` the rate of a member's link, 0 if unknown.
    CountsTree(std::size_t cells, double linkBitsPerSecond) : m_cells(cells), m_linkBitsPerSecond(linkBitsPerSecond) { }

    /// `members` are the IP addresses of the members apart from the leader. Those in `unresponsive` collect nothing.
    void update(const std::vector<std::string> &members, const std::set<std::string> &unresponsive);
    /// The route of a member; of the leader's own kind for an unknown one.
    CountsRoute routeOf(const std::string &member) const;

private:
    core::Duration intervalFor(std::size_t collectors, std::size_t membersPerCollector) const;

    const std::size_t m_cells;
    const double m_linkBitsPerSecond;
    core::Duration m_interval{0};
    /// Collector of each member.
    std::map<std::string, std::string> m_collectors;
};

} // namespace lycheelanding::rankgroups

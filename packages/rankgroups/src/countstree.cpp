#include "lycheelanding/rankgroups/countstree.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace lycheelanding::rankgroups {

namespace {

/// Groups up to this size send straight to the leader.
constexpr std::size_t maxDirectMembers = 15;
constexpr std::chrono::milliseconds minInterval{60};
/// Share of a link that counts may use; the rest is for the ranks' states, commands, lease renewals and the engine.
constexpr double maxLinkShare = 0.35;
/// Size of a count in a report (see CountsQuantizer), and of the rest of a datagram.
constexpr double bytesPerCount = 0.75;
constexpr double headerBytes = 100.0;
constexpr double bitsPerByte = 8.0;

} // namespace

void CountsTree::update(const std::vector<std::string> &members, const std::set<std::string> &unresponsive)
{
    const auto previous = std::exchange(m_collectors, {});
    if (members.size() <= maxDirectMembers) {
        m_interval = intervalFor(members.size(), 1);
        return;
    }
    // Sorted addresses keep members of a data centre together, so that most reports stay within it.
    auto sorted = members;
    std::sort(sorted.begin(), sorted.end());
    const auto collectors = static_cast<std::size_t>(std::lround(std::sqrt(static_cast<double>(sorted.size()))));
    const std::size_t perCollector = (sorted.size() + collectors - 1) / collectors;
    m_interval = intervalFor(collectors, perCollector);
    for (std::size_t first = 0; first < sorted.size(); first += perCollector) {
        const auto begin = sorted.begin() + static_cast<std::ptrdiff_t>(first);
        const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(std::min(first + perCollector, sorted.size()));
        const auto wasCollector = [&previous](const std::string &member) {
            const auto found = previous.find(member);
            return found != previous.end() && found->second == member;
        };
        // Keeps a collector while it is responsive, since a change loses the reports that are under way.
        auto chosen = std::find_if(begin, end, [&](const std::string &member) {
            return wasCollector(member) && !unresponsive.contains(member);
        });
        if (chosen == end) {
            chosen
                = std::find_if(begin, end, [&](const std::string &member) { return !unresponsive.contains(member); });
        }
        if (chosen == end) {
            continue;
        }
        for (auto member = begin; member != end; ++member) {
            m_collectors[*member] = *chosen;
        }
    }
}

CountsRoute CountsTree::routeOf(const std::string &member) const
{
    const auto found = m_collectors.find(member);
    return {found != m_collectors.end() ? found->second : std::string(),
            std::max<core::Duration>(m_interval, minInterval)};
}

core::Duration CountsTree::intervalFor(std::size_t collectors, std::size_t membersPerCollector) const
{
    if (m_linkBitsPerSecond <= 0.0) {
        return minInterval;
    }
    const double reportBytes = static_cast<double>(m_cells) * bytesPerCount + headerBytes;
    const auto reports = static_cast<double>(std::max(collectors, membersPerCollector));
    const std::chrono::duration<double> limited(reports * reportBytes * bitsPerByte
                                                / (m_linkBitsPerSecond * maxLinkShare));
    return std::max<core::Duration>(minInterval, std::chrono::duration_cast<core::Duration>(limited));
}

} // namespace lycheelanding::rankgroups

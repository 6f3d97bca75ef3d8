#include "side/group/groupmembership.h"

#include <algorithm>

namespace lycheelanding::daemon::side::group {

namespace {

std::vector<core::VmId> vmsOf(const configuration::Group &group)
{
    auto entries = group.ranks;
    std::sort(entries.begin(), entries.end(),
              [](const auto &left, const auto &right) { return left.rank < right.rank; });
    std::vector<core::VmId> vms;
    for (const auto &item : entries) {
        if (std::find(vms.begin(), vms.end(), item.vm) == vms.end()) {
            vms.push_back(item.vm);
        }
    }
    return vms;
}

} // namespace

std::optional<GroupMembership> membershipOf(const configuration::Document &document, const core::VmId &vm)
{
    for (const auto &group : document.groups) {
        auto vms = vmsOf(group);
        const auto found = std::find(vms.begin(), vms.end(), vm);
        if (found == vms.end()) {
            continue;
        }
        const auto member = static_cast<std::uint64_t>(found - vms.begin());
        const decisions::experts::MapShape shape{group.ranks.size(), group.experts, group.expertLayers,
                                                 group.slotsPerRank};
        return GroupMembership{group.id, decisions::mapswitch::MemberIndex(member), std::move(vms), shape};
    }
    return std::nullopt;
}

} // namespace lycheelanding::daemon::side::group

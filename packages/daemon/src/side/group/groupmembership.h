#pragma once

#include "lycheelanding/configuration/configurationdocument.h"
#include "lycheelanding/core/ids.h"
#include "lycheelanding/decisions/experts/expertmap.h"
#include "lycheelanding/decisions/mapswitch/switchmessages.h"

#include <optional>
#include <vector>

/// A side's part in its rank group: its engine's map switches and, beside rank 0, the group's coordinator.
namespace lycheelanding::daemon::side::group {

/// Where a VM stands in the rank group that the configuration puts it into.
struct GroupMembership
{
    core::GroupId group;
    decisions::mapswitch::MemberIndex member;
    /// All VMs of the group in the order of their lowest rank; the first one holds rank 0 and coordinates.
    std::vector<core::VmId> vms;
    decisions::experts::MapShape shape;

    bool isCoordinator() const { return member.number() == 0; }
    bool operator==(const GroupMembership &) const = default;
};

/// The place of `vm`, or nothing when it is in no group.
std::optional<GroupMembership> membershipOf(const configuration::Document &document, const core::VmId &vm);

} // namespace lycheelanding::daemon::side::group

#pragma once

#include "lycheelanding/configuration/configurationdocument.h"
#include "lycheelanding/core/ids.h"
#include "lycheelanding/decisions/experts/expertmap.h"
#include "lycheelanding/decisions/mapswitch/switchmessages.h"

#include <optional>
#include <vector>

/// The side's membership in its rank group: it switches the expert maps of its engine and, on the VM of rank 0, runs
/// the group's coordinator.
namespace lycheelanding::daemon::side::group {

/// The rank group that the configuration assigns to a VM, and the index of the VM in it.
struct GroupMembership
{
    core::GroupId group;
    decisions::mapswitch::MemberIndex member;
    /// All VMs of the group, ordered by their lowest rank. The first one has rank 0 and runs the coordinator.
    std::vector<core::VmId> vms;
    decisions::experts::MapShape shape;

    bool isCoordinator() const { return member.number() == 0; }
    bool operator==(const GroupMembership &) const = default;
};

/// The membership of `vm`; none when it belongs to no group.
std::optional<GroupMembership> membershipOf(const configuration::Document &document, const core::VmId &vm);

} // namespace lycheelanding::daemon::side::group

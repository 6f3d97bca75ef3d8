#include "lycheelanding/decisions/membership/backendmembership.h"

#include "lycheelanding/core/nametable.h"

#include <algorithm>
#include <array>

namespace lycheelanding::decisions::membership {

namespace {

constexpr std::array<core::NameEntry<UnroutableReason>, 4> reasonNames{{
    {UnroutableReason::VmLeaving, "vmLeaving"},
    {UnroutableReason::SideLeaving, "sideLeaving"},
    {UnroutableReason::Suspected, "suspected"},
    {UnroutableReason::Replaced, "replaced"},
}};

} // namespace

std::string_view nameOf(UnroutableReason reason)
{
    return core::nameIn(reasonNames, reason);
}

BackendMembership::BackendMembership(const MembershipSettings &settings) : m_settings(settings) { }

MembershipActions BackendMembership::heartbeat(const core::VmId &vm, core::Incarnation incarnation, core::TimePoint now)
{
    MembershipActions actions;
    Member &member = m_members[vm];
    if (isEnded(member, incarnation)) {
        return actions;
    }
    if (member.incarnation != incarnation) {
        replace(vm, member, incarnation, actions);
    } else {
        restartProbationAfterGap(member, now);
    }
    if (member.probationStart && !member.isConnected) {
        member.probationStart = now;
    }
    member.isConnected = true;
    member.lastHeartbeat = now;
    report(vm, member, now, actions);
    return actions;
}

MembershipActions BackendMembership::leaving(const core::VmId &vm, core::Incarnation incarnation, core::TimePoint now)
{
    MembershipActions actions;
    Member &member = m_members[vm];
    if (isEnded(member, incarnation)) {
        return actions;
    }
    if (member.incarnation != incarnation) {
        replace(vm, member, incarnation, actions);
    }
    markLeft(member, UnroutableReason::SideLeaving);
    report(vm, member, now, actions);
    return actions;
}

MembershipActions BackendMembership::disconnected(const core::VmId &vm, core::Incarnation incarnation,
                                                  core::TimePoint now)
{
    MembershipActions actions;
    Member &member = m_members[vm];
    if (member.incarnation != incarnation) {
        return actions;
    }
    member.isConnected = false;
    member.probationStart = now;
    report(vm, member, now, actions);
    return actions;
}

MembershipActions BackendMembership::vmsListed(std::span<const ListedVm> vms, core::TimePoint now)
{
    MembershipActions actions;
    countAbsentListings(vms);
    for (const ListedVm &listed : vms) {
        Member &member = m_members[listed.vm];
        member.wasListed = true;
        member.absentListings = 0;
        member.isListedLeaving = listed.state == VmState::Leaving;
    }
    for (auto &[vm, member] : m_members) {
        if (member.wasListed && member.absentListings >= m_settings.listingsUntilLeaving) {
            member.isListedLeaving = true;
        }
        if (member.isListedLeaving && member.incarnation) {
            markLeft(member, UnroutableReason::VmLeaving);
        }
        report(vm, member, now, actions);
    }
    removeAbsentMembers();
    return actions;
}

MembershipActions BackendMembership::tick(core::TimePoint now)
{
    MembershipActions actions;
    for (auto &[vm, member] : m_members) {
        report(vm, member, now, actions);
    }
    return actions;
}

bool BackendMembership::isRoutable(const core::VmId &vm, core::TimePoint now) const
{
    const auto member = m_members.find(vm);
    return member != m_members.end() && isRoutable(member->second, now);
}

std::vector<core::VmId> BackendMembership::routableVms(core::TimePoint now) const
{
    std::vector<core::VmId> vms;
    for (const auto &[vm, member] : m_members) {
        if (isRoutable(member, now)) {
            vms.push_back(vm);
        }
    }
    return vms;
}

std::optional<core::Incarnation> BackendMembership::incarnationOf(const core::VmId &vm) const
{
    const auto member = m_members.find(vm);
    return member == m_members.end() ? std::nullopt : member->second.incarnation;
}

bool BackendMembership::isEnded(const Member &member, core::Incarnation incarnation) const
{
    return std::find(member.endedIncarnations.begin(), member.endedIncarnations.end(), incarnation)
        != member.endedIncarnations.end();
}

bool BackendMembership::isSuspected(const Member &member, core::TimePoint now) const
{
    if (!member.isConnected || now - member.lastHeartbeat > m_settings.suspectAfter) {
        return true;
    }
    return member.probationStart && now - *member.probationStart < m_settings.probation;
}

bool BackendMembership::isRoutable(const Member &member, core::TimePoint now) const
{
    return member.incarnation && !member.hasLeft && !member.isListedLeaving && !isSuspected(member, now);
}

UnroutableReason BackendMembership::reasonOf(const Member &member) const
{
    if (member.hasLeft) {
        return member.leftReason;
    }
    return member.isListedLeaving ? UnroutableReason::VmLeaving : UnroutableReason::Suspected;
}

void BackendMembership::replace(const core::VmId &vm, Member &member, core::Incarnation incarnation,
                                MembershipActions &actions)
{
    if (member.incarnation) {
        member.endedIncarnations.push_back(*member.incarnation);
        if (member.endedIncarnations.size() > m_settings.maxEndedIncarnations) {
            member.endedIncarnations.pop_front();
        }
    }
    if (member.wasRoutable) {
        actions.emplace_back(BecameUnroutable{vm, *member.incarnation, UnroutableReason::Replaced});
    }
    member.incarnation = incarnation;
    member.probationStart.reset();
    member.isConnected = false;
    member.hasLeft = false;
    member.wasRoutable = false;
}

void BackendMembership::markLeft(Member &member, UnroutableReason reason)
{
    if (!member.hasLeft) {
        member.hasLeft = true;
        member.leftReason = reason;
    }
}

void BackendMembership::restartProbationAfterGap(Member &member, core::TimePoint now)
{
    // Restarts probation after each gap, so that a side with an unstable link does not flap.
    if (member.incarnation && now - member.lastHeartbeat > m_settings.suspectAfter) {
        member.probationStart = now;
    }
}

bool BackendMembership::isIncomplete(std::span<const ListedVm> vms) const
{
    const auto isKnownLive = [](const Member &member) {
        return member.wasListed && member.absentListings == 0 && !member.isListedLeaving;
    };
    const auto known
        = std::count_if(m_members.begin(), m_members.end(), [&](const auto &item) { return isKnownLive(item.second); });
    const auto kept = std::count_if(vms.begin(), vms.end(), [&](const ListedVm &listed) {
        const auto member = m_members.find(listed.vm);
        return member != m_members.end() && isKnownLive(member->second);
    });
    return 2 * kept < known;
}

void BackendMembership::countAbsentListings(std::span<const ListedVm> vms)
{
    // A listing that lacks most of the VMs is probably a fault of the VM list, and heartbeats still detect failed
    // sides. The states of the VMs that it does contain are applied.
    m_incompleteListings = isIncomplete(vms) ? m_incompleteListings + 1 : 0;
    if (m_incompleteListings > 0 && m_incompleteListings <= m_settings.maxIncompleteListings) {
        return;
    }
    for (auto &[vm, member] : m_members) {
        ++member.absentListings;
    }
}

void BackendMembership::removeAbsentMembers()
{
    std::erase_if(m_members, [this](const auto &item) {
        const Member &member = item.second;
        return !member.isConnected && member.absentListings >= m_settings.listingsUntilRemoved;
    });
}

void BackendMembership::report(const core::VmId &vm, Member &member, core::TimePoint now, MembershipActions &actions)
{
    const bool isNowRoutable = isRoutable(member, now);
    if (isNowRoutable == member.wasRoutable) {
        return;
    }
    member.wasRoutable = isNowRoutable;
    if (isNowRoutable) {
        actions.emplace_back(BecameRoutable{vm, *member.incarnation});
    } else {
        actions.emplace_back(BecameUnroutable{vm, *member.incarnation, reasonOf(member)});
    }
}

} // namespace lycheelanding::decisions::membership

#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

/// Which backend servers may get new work, and how processes stop without aborting requests.
namespace lycheelanding::decisions::membership {

struct MembershipSettings
{
    /// Age of the last heartbeat at which a side is suspected.
    std::chrono::milliseconds suspectAfter{1500};
    /// How long a suspected side must send heartbeats without such a gap before it becomes routable again.
    std::chrono::milliseconds probation{3000};
    /// Consecutive listings without a VM after which it counts as leaving.
    int listingsUntilLeaving = 2;
    /// Consecutive listings without most of the known VMs that are treated as faults of the VM list.
    int maxIncompleteListings = 5;
    /// Consecutive listings without a VM after which it is removed, unless it is connected.
    int listingsUntilRemoved = 100;
    /// Ended incarnations remembered per VM.
    std::size_t maxEndedIncarnations = 32;
};

enum class VmState : std::uint8_t {
    Live,
    Leaving,
};

struct ListedVm
{
    core::VmId vm;
    VmState state = VmState::Live;
};

enum class UnroutableReason : std::uint8_t {
    /// The VM list marks the VM as leaving, or no longer contains it.
    VmLeaving,
    /// The side reported that it is draining.
    SideLeaving,
    /// No heartbeat for too long, or the connection was lost.
    Suspected,
    /// A new incarnation of the side has replaced it.
    Replaced,
};

std::string_view nameOf(UnroutableReason reason);

/// New work may go to this incarnation of the VM's side.
struct BecameRoutable
{
    core::VmId vm;
    core::Incarnation incarnation;
};
struct BecameUnroutable
{
    core::VmId vm;
    core::Incarnation incarnation;
    UnroutableReason reason = UnroutableReason::Suspected;
};
using MembershipAction = std::variant<BecameRoutable, BecameUnroutable>;
using MembershipActions = std::vector<MembershipAction>;

/// An entry's view of the backend servers, from the VM list, the sides' drain reports and their heartbeats. Whichever
/// first shows a side to be unavailable makes it unroutable. An incarnation that has left never becomes routable again;
/// a new one of the same VM may.
class BackendMembership
{
public:
    explicit BackendMembership(const MembershipSettings &settings);

    /// Replaces the settings; the members' state is kept.
    void configure(const MembershipSettings &settings) { m_settings = settings; }

    /// The side reports that it serves. May be the first message of a new incarnation.
    MembershipActions heartbeat(const core::VmId &vm, core::Incarnation incarnation, core::TimePoint now);
    /// The side reports that it is draining, in a heartbeat or on its stop signal.
    MembershipActions leaving(const core::VmId &vm, core::Incarnation incarnation, core::TimePoint now);
    MembershipActions disconnected(const core::VmId &vm, core::Incarnation incarnation, core::TimePoint now);
    /// A complete VM list was read. While none can be read, the last one stays active.
    MembershipActions vmsListed(std::span<const ListedVm> vms, core::TimePoint now);
    MembershipActions tick(core::TimePoint now);

    bool isRoutable(const core::VmId &vm, core::TimePoint now) const;
    std::vector<core::VmId> routableVms(core::TimePoint now) const;
    /// The side's latest incarnation; nullopt if none is known.
    std::optional<core::Incarnation> incarnationOf(const core::VmId &vm) const;

private:
    struct Member
    {
        std::optional<core::Incarnation> incarnation;
        core::TimePoint lastHeartbeat;
        /// Set once the incarnation was disconnected or had a gap between heartbeats: start of the run of heartbeats
        /// without a gap since then.
        std::optional<core::TimePoint> probationStart;
        bool isConnected = false;
        bool hasLeft = false;
        UnroutableReason leftReason = UnroutableReason::SideLeaving;
        bool isListedLeaving = false;
        int absentListings = 0;
        bool wasListed = false;
        bool wasRoutable = false;
        std::deque<core::Incarnation> endedIncarnations;
    };

    bool isEnded(const Member &member, core::Incarnation incarnation) const;
    bool isSuspected(const Member &member, core::TimePoint now) const;
    bool isRoutable(const Member &member, core::TimePoint now) const;
    UnroutableReason reasonOf(const Member &member) const;
    void replace(const core::VmId &vm, Member &member, core::Incarnation incarnation, MembershipActions &actions);
    void markLeft(Member &member, UnroutableReason reason);
    void restartProbationAfterGap(Member &member, core::TimePoint now);
    bool isIncomplete(std::span<const ListedVm> vms) const;
    void countAbsentListings(std::span<const ListedVm> vms);
    void removeAbsentMembers();
    void report(const core::VmId &vm, Member &member, core::TimePoint now, MembershipActions &actions);

    MembershipSettings m_settings;
    std::map<core::VmId, Member> m_members;
    int m_incompleteListings = 0;
};

} // namespace lycheelanding::decisions::membership

#include "lycheelanding/decisions/membership/backendmembership.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <map>
#include <set>

namespace lycheelanding::decisions::membership {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t vmCount = 3;

core::VmId vmOf(std::size_t index)
{
    return core::VmId("vm-" + std::to_string(index));
}

/// Reference model of one VM, updated from the same events as BackendMembership.
struct ExpectedMember
{
    std::set<core::Incarnation> left;
    std::optional<core::Incarnation> current;
    core::TimePoint lastHeartbeat;
    core::TimePoint lastInterruption;
    bool isListedLeaving = false;
    bool isConnected = false;
};

class MembershipSimulation
{
public:
    MembershipSimulation() : m_membership(m_settings) { }

    void heartbeat(std::size_t vm, std::uint64_t incarnation)
    {
        ExpectedMember &expected = m_expected[vm];
        const core::Incarnation id(incarnation);
        applyActions(m_membership.heartbeat(vmOf(vm), id, m_now));
        if (expected.left.contains(id) && expected.current != id) {
            return;
        }
        if (expected.current != id) {
            expected.lastInterruption = core::TimePoint();
        } else if (!expected.isConnected || m_now - expected.lastHeartbeat > m_settings.suspectAfter) {
            expected.lastInterruption = m_now;
        }
        setIncarnation(expected, id);
        expected.isConnected = true;
        expected.lastHeartbeat = m_now;
    }

    void leave(std::size_t vm, std::uint64_t incarnation)
    {
        const core::Incarnation id(incarnation);
        applyActions(m_membership.leaving(vmOf(vm), id, m_now));
        if (!m_expected[vm].left.contains(id)) {
            setIncarnation(m_expected[vm], id);
        }
        m_expected[vm].left.insert(id);
    }

    void disconnect(std::size_t vm)
    {
        ExpectedMember &expected = m_expected[vm];
        if (expected.current) {
            applyActions(m_membership.disconnected(vmOf(vm), *expected.current, m_now));
            expected.isConnected = false;
            expected.lastInterruption = m_now;
        }
    }

    /// `leavingMask` has one bit for each VM.
    void list(std::size_t leavingMask)
    {
        std::vector<ListedVm> listed;
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            const bool isLeaving = (leavingMask >> vm & 1U) != 0;
            listed.push_back({vmOf(vm), isLeaving ? VmState::Leaving : VmState::Live});
            m_expected[vm].isListedLeaving = isLeaving;
            if (isLeaving && m_expected[vm].current) {
                m_expected[vm].left.insert(*m_expected[vm].current);
            }
        }
        applyActions(m_membership.vmsListed(listed, m_now));
    }

    void advance(milliseconds step)
    {
        m_now += step;
        applyActions(m_membership.tick(m_now));
    }

    void check() const
    {
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            const ExpectedMember &expected = m_expected[vm];
            const bool hasLeft = !expected.current || expected.left.contains(*expected.current);
            const bool isFresh = expected.isConnected && m_now - expected.lastHeartbeat <= m_settings.suspectAfter;
            const bool isSteady = m_now - expected.lastInterruption >= m_settings.probation;
            const bool isExpected = !hasLeft && !expected.isListedLeaving && isFresh && isSteady;
            RC_ASSERT(m_membership.isRoutable(vmOf(vm), m_now) == isExpected);
            RC_ASSERT(m_membership.incarnationOf(vmOf(vm)) == expected.current);
        }
    }

private:
    static void setIncarnation(ExpectedMember &expected, core::Incarnation id)
    {
        if (expected.current == id) {
            return;
        }
        if (expected.current) {
            expected.left.insert(*expected.current);
        }
        expected.current = id;
        expected.isConnected = false;
    }

    /// Checks that actions alternate for each VM, and that an incarnation becomes routable again only after probation.
    void applyActions(const MembershipActions &actions)
    {
        for (const MembershipAction &action : actions) {
            if (const auto *up = std::get_if<BecameRoutable>(&action)) {
                RC_ASSERT(!m_routable.contains(up->vm));
                const auto down = m_lastSuspicion.find(up->vm);
                const bool isSame = down != m_lastSuspicion.end() && down->second.incarnation == up->incarnation;
                RC_ASSERT((!isSame || m_now - down->second.at >= m_settings.probation));
                m_routable[up->vm] = up->incarnation;
            } else if (const auto *down = std::get_if<BecameUnroutable>(&action)) {
                RC_ASSERT(m_routable.at(down->vm) == down->incarnation);
                m_routable.erase(down->vm);
                m_lastSuspicion[down->vm] = {down->incarnation, m_now};
            }
        }
    }

    struct Suspicion
    {
        core::Incarnation incarnation;
        core::TimePoint at;
    };

    MembershipSettings m_settings;
    BackendMembership m_membership;
    core::TimePoint m_now{std::chrono::hours(1)};
    std::array<ExpectedMember, vmCount> m_expected;
    std::map<core::VmId, core::Incarnation> m_routable;
    std::map<core::VmId, Suspicion> m_lastSuspicion;
};

struct Event
{
    int kind;
    std::size_t vm;
    std::uint64_t detail;
};

void showValue(const Event &event, std::ostream &out)
{
    out << "(" << event.kind << " " << event.vm << " " << event.detail << ")";
}

} // namespace

RC_GTEST_PROP(BackendMembershipTest, routabilityMatchesTheReferenceModel, ())
{
    const auto event = rc::gen::construct<Event>(rc::gen::inRange(0, 12), rc::gen::inRange<std::size_t>(0, vmCount),
                                                 rc::gen::inRange<std::uint64_t>(0, 2000));
    const auto events = *rc::gen::scale(4, rc::gen::container<std::vector<Event>>(event));
    MembershipSimulation simulation;
    std::uint64_t newest = 1;
    for (const Event &each : events) {
        switch (each.kind) {
        case 0:
            simulation.leave(each.vm, newest - each.detail % std::min<std::uint64_t>(newest, 3));
            break;
        case 1:
            simulation.disconnect(each.vm);
            break;
        case 2:
            simulation.list(each.detail % 4 == 0 ? each.detail / 4 % 8 : 0);
            break;
        case 3:
            ++newest;
            break;
        case 4:
        case 5:
            simulation.advance(milliseconds(each.detail));
            break;
        default:
            // Kind 6 sends late heartbeats of earlier incarnations.
            simulation.heartbeat(each.vm,
                                 newest - (each.kind == 6 ? each.detail % std::min<std::uint64_t>(newest, 3) : 0));
            simulation.advance(milliseconds(each.detail / 4));
        }
        simulation.check();
    }
}

TEST(BackendMembershipTest, vmAbsentFromTwoListingsIsLeaving)
{
    const core::TimePoint now{std::chrono::hours(1)};
    BackendMembership membership{MembershipSettings{}};
    std::vector<ListedVm> all{{vmOf(0)}, {vmOf(1)}, {vmOf(2)}};
    membership.vmsListed(all, now);
    membership.heartbeat(vmOf(2), core::Incarnation(1), now);
    all.pop_back();
    membership.vmsListed(all, now);
    EXPECT_TRUE(membership.isRoutable(vmOf(2), now));
    membership.vmsListed(all, now);
    EXPECT_FALSE(membership.isRoutable(vmOf(2), now));
}

TEST(BackendMembershipTest, incompleteListingRemovesNoVmButItsLeavingStatesApply)
{
    const core::TimePoint now{std::chrono::hours(1)};
    BackendMembership membership{MembershipSettings{}};
    const std::vector<ListedVm> all{{vmOf(0)}, {vmOf(1)}, {vmOf(2)}};
    membership.vmsListed(all, now);
    for (std::size_t vm = 0; vm < vmCount; ++vm) {
        membership.heartbeat(vmOf(vm), core::Incarnation(1), now);
    }
    const std::vector<ListedVm> few{{vmOf(0), VmState::Leaving}};
    for (int listing = 0; listing < MembershipSettings{}.maxIncompleteListings; ++listing) {
        membership.vmsListed(few, now);
    }
    EXPECT_FALSE(membership.isRoutable(vmOf(0), now));
    EXPECT_EQ(membership.routableVms(now).size(), 2U);
}

TEST(BackendMembershipTest, newSettingsApplyAtOnceAndMembersAreKept)
{
    const core::TimePoint start{std::chrono::hours(1)};
    BackendMembership membership{MembershipSettings{}};
    membership.vmsListed(std::vector<ListedVm>{{vmOf(0)}, {vmOf(1)}}, start);
    membership.heartbeat(vmOf(0), core::Incarnation(1), start);
    membership.heartbeat(vmOf(1), core::Incarnation(1), start);
    membership.leaving(vmOf(1), core::Incarnation(1), start);
    MembershipSettings longerTimeout;
    longerTimeout.suspectAfter = milliseconds(9000);
    membership.configure(longerTimeout);
    EXPECT_TRUE(membership.isRoutable(vmOf(0), start + longerTimeout.suspectAfter));
    EXPECT_FALSE(membership.isRoutable(vmOf(0), start + longerTimeout.suspectAfter + milliseconds(1)));
    EXPECT_FALSE(membership.isRoutable(vmOf(1), start));
    membership.configure(MembershipSettings{});
    EXPECT_FALSE(membership.isRoutable(vmOf(0), start + MembershipSettings{}.suspectAfter + milliseconds(1)));
}

} // namespace lycheelanding::decisions::membership

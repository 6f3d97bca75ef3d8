#include "lycheelanding/decisions/routing/healthtracker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace lycheelanding::decisions::routing {

namespace {

using namespace std::chrono_literals;

std::vector<core::VmId> servers(std::size_t count)
{
    std::vector<core::VmId> vms;
    for (std::size_t number = 0; number < count; ++number) {
        vms.emplace_back("vm-" + std::to_string(number));
    }
    return vms;
}

std::size_t countOf(const HealthTracker &health, const std::vector<core::VmId> &vms, Availability wanted,
                    core::TimePoint now)
{
    return static_cast<std::size_t>(std::count_if(
        vms.begin(), vms.end(), [&](const core::VmId &vm) { return health.availability(vm, now) == wanted; }));
}

} // namespace

RC_GTEST_PROP(HealthTrackerTest, halfOfTheServersStayInServiceAndProbesAreSentOneAtATime, (std::uint64_t seed))
{
    HealthTracker health(HealthSettings(), seed);
    const auto vms = servers(6);
    health.setServers(vms);
    core::TimePoint now(1h);
    const auto steps = *rc::gen::container<std::vector<std::pair<int, std::uint32_t>>>(
        rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::arbitrary<std::uint32_t>()));
    for (const auto &[kind, value] : steps) {
        const core::VmId &vm = vms[value % vms.size()];
        const Availability before = health.availability(vm, now);
        switch (kind) {
        case 0:
            if (before != Availability::Ejected) {
                health.requestSent(vm, before == Availability::Probe, now);
                RC_ASSERT(health.availability(vm, now) != Availability::Probe);
            }
            break;
        case 1:
            health.failed(vm, now);
            break;
        case 2:
            health.succeeded(vm, now);
            break;
        case 3:
            health.released(vm, now);
            break;
        default:
            now += std::chrono::milliseconds(value % 4000);
        }
        RC_ASSERT(countOf(health, vms, Availability::Available, now) >= 3U);
    }
}

// Whatever else happens at a backend server that has asked for a pause, it gets nothing before its end, and one request
// at a time until one is answered.
RC_GTEST_PROP(HealthTrackerFuzz, pauseLastsAsLongAsTheServerHasAsked, (std::uint64_t seed))
{
    HealthTracker health(HealthSettings(), seed);
    const auto vms = servers(3);
    health.setServers(vms);
    core::TimePoint now(1h);
    std::map<core::VmId, core::TimePoint> pausedUntil;
    std::set<core::VmId> leaving;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, std::uint32_t>>>(
        rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::arbitrary<std::uint32_t>()));
    for (const auto &[kind, value] : steps) {
        const core::VmId &vm = vms[value % vms.size()];
        const auto before = health.availability(vm, now);
        const auto until = now + std::chrono::milliseconds(value % 5000 + 1);
        switch (kind) {
        case 0:
            if (before == Availability::Available || before == Availability::Probe || before == Availability::Return) {
                health.requestSent(vm, before != Availability::Available, now);
                RC_ASSERT(before == Availability::Available || health.availability(vm, now) != before);
            }
            break;
        case 1:
            health.failed(vm, now);
            break;
        case 2:
            health.succeeded(vm, now);
            break;
        case 3:
            health.released(vm, now);
            break;
        case 4:
            health.turnedAway(vm, until, now);
            pausedUntil[vm] = std::max(pausedUntil[vm], until);
            break;
        case 5:
            health.progressed(vm, now);
            break;
        case 6:
            if (value % 20 == 0) {
                health.leaves(vm);
                leaving.insert(vm);
            }
            break;
        default:
            now += std::chrono::milliseconds(value % 3000);
        }
        for (const auto &each : vms) {
            const auto availability = health.availability(each, now);
            RC_ASSERT((availability == Availability::Leaving) == leaving.contains(each));
            if (now < pausedUntil[each] && !leaving.contains(each)) {
                RC_ASSERT(availability == Availability::TurnedAway);
                RC_ASSERT(health.returnAt(each, now) >= pausedUntil[each]);
            }
        }
    }
}

TEST(HealthTrackerTest, serverThatAskedForAPauseReturnsWithOneRequestAndGrowingLoad)
{
    HealthTracker health(HealthSettings(), 1);
    const auto vm = servers(1).front();
    health.setServers({vm});
    const core::TimePoint start(1h);
    health.turnedAway(vm, start + 5s, start);
    EXPECT_EQ(health.availability(vm, start + 4999ms), Availability::TurnedAway);
    EXPECT_EQ(health.availability(vm, start + 6s), Availability::Return);
    health.requestSent(vm, true, start + 6s);
    EXPECT_EQ(health.availability(vm, start + 6s), Availability::TurnedAway);
    health.succeeded(vm, start + 7s);
    EXPECT_EQ(health.availability(vm, start + 7s), Availability::Available);
    EXPECT_LT(health.loadFraction(vm, start + 7s), 0.5);
    EXPECT_EQ(health.loadFraction(vm, start + 12s), 1.0);
}

TEST(HealthTrackerTest, noServerIsEjectedWhenAllAreUnresponsive)
{
    HealthTracker health(HealthSettings(), 1);
    const auto vms = servers(4);
    health.setServers(vms);
    const core::TimePoint now(1h);
    for (const auto &vm : vms) {
        health.responded(vm, 50ms);
        health.requestSent(vm, false, now);
    }
    EXPECT_EQ(countOf(health, vms, Availability::Available, now + 2s), 4U);
    health.progressed(vms[0], now + 2s);
    health.progressed(vms[1], now + 2s);
    EXPECT_EQ(countOf(health, vms, Availability::Available, now + 2s), 2U);
}

TEST(HealthTrackerTest, flappingServerIsEjectedLongerEachTime)
{
    HealthTracker health(HealthSettings(), 1);
    const auto vms = servers(4);
    health.setServers(vms);
    core::TimePoint now(1h);
    core::Duration before = core::Duration::zero();
    for (int round = 0; round < 4; ++round) {
        for (int failure = 0; failure < 3; ++failure) {
            health.requestSent(vms[0], false, now);
            health.failed(vms[0], now);
        }
        const core::Duration ejectionTime = health.nextProbeAt(now) - now;
        EXPECT_GT(ejectionTime, before);
        before = ejectionTime;
        now += ejectionTime;
        ASSERT_EQ(health.availability(vms[0], now), Availability::Probe);
        health.requestSent(vms[0], true, now);
        health.succeeded(vms[0], now);
        EXPECT_LT(health.loadFraction(vms[0], now + 500ms), 0.2);
        EXPECT_EQ(health.loadFraction(vms[0], now + 5s), 1.0);
    }
}

} // namespace lycheelanding::decisions::routing

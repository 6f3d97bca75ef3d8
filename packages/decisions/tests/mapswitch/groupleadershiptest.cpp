#include "lycheelanding/decisions/mapswitch/groupleadership.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace lycheelanding::decisions::mapswitch {

namespace {

using namespace std::chrono_literals;

const core::TimePoint start = core::TimePoint(1h);

template <typename Action>
LeaseCall callOf(const LeadershipActions &actions)
{
    return actions.empty() ? LeaseCall() : std::get<Action>(actions.front()).call;
}

template <typename Action>
bool has(const LeadershipActions &actions)
{
    for (const auto &action : actions) {
        if (std::holds_alternative<Action>(action)) {
            return true;
        }
    }
    return false;
}

/// A member that became leader at `start` with fencing token 7.
GroupLeadership leaderAtStart()
{
    GroupLeadership leadership({});
    const auto grant = callOf<GrantLease>(leadership.tick(0, start));
    const auto write = callOf<WriteLeaderKey>(leadership.leaseGranted(grant, 1, start));
    EXPECT_TRUE(has<BecameLeader>(leadership.keyWritten(write, 7, {}, start)));
    return leadership;
}

} // namespace

TEST(GroupLeadership, higherRanksHaveLongerElectionTimeouts)
{
    const LeadershipSettings settings;
    GroupLeadership third(settings);
    EXPECT_TRUE(third.tick(2, start).empty());
    EXPECT_TRUE(third.tick(2, start + settings.electionTimeoutPerRank * 2 - 1ms).empty());
    EXPECT_TRUE(has<GrantLease>(third.tick(2, start + settings.electionTimeoutPerRank * 2)));
}

// Each attempt costs the store two writes. A leader that has just started does not know its members yet, so they find
// the key taken without having had contact with the leader.
TEST(GroupLeadership, attemptsBackOffWhileAnUnseenLeaderHoldsTheKey)
{
    GroupLeadership leadership({});
    int attempts = 0;
    for (auto now = start; now < start + 8s; now += 50ms) {
        const auto grant = leadership.tick(0, now);
        if (!has<GrantLease>(grant)) {
            continue;
        }
        ++attempts;
        const auto write = callOf<WriteLeaderKey>(leadership.leaseGranted(callOf<GrantLease>(grant), 1, now));
        leadership.keyWritten(write, std::nullopt, {}, now);
    }
    EXPECT_LE(attempts, 8);
    EXPECT_GE(attempts, 5);
}

TEST(GroupLeadership, leaderThatIsSeenIsNotReplaced)
{
    GroupLeadership leadership({});
    for (auto now = start; now < start + 10s; now += 300ms) {
        leadership.leaderSeen(now);
        EXPECT_TRUE(leadership.tick(0, now).empty());
    }
}

TEST(GroupLeadership, leadershipEndsWithTheLeaseCountedFromItsRequest)
{
    const LeadershipSettings settings;
    auto leadership = leaderAtStart();
    const auto renewal = callOf<RenewLease>(leadership.tick(0, start + settings.renewInterval));
    // The lease counts from the request, however late the answer is.
    leadership.leaseRenewed(renewal);
    EXPECT_FALSE(has<LostLeadership>(leadership.tick(0, start + settings.timeToLive)));
    EXPECT_TRUE(has<LostLeadership>(leadership.tick(0, start + settings.renewInterval + settings.timeToLive)));
    EXPECT_FALSE(leadership.isLeader());
}

TEST(GroupLeadership, expiredLeaseOrResignationEndsLeadershipAtOnce)
{
    auto ended = leaderAtStart();
    const auto renewal = callOf<RenewLease>(ended.tick(0, start + LeadershipSettings().renewInterval));
    EXPECT_TRUE(has<LostLeadership>(ended.callFailed(renewal, true, start)));
    auto fenced = leaderAtStart();
    EXPECT_TRUE(has<LostLeadership>(fenced.resign(start)));
    // No immediate retry with the refused fencing token: the next leadership starts with a new key.
    EXPECT_TRUE(fenced.tick(0, start + LeadershipSettings().retryDelay - 1ms).empty());
}

// A leader whose renewals took half a second lost its lease although each was answered, and left its group held.
TEST(GroupLeadership, slowButAnsweredRenewalsKeepTheLease)
{
    constexpr auto roundTrip = 600ms;
    auto leadership = leaderAtStart();
    std::deque<std::pair<core::TimePoint, LeaseCall>> pending;
    std::size_t renewals = 0;
    for (auto now = start; now < start + 10s; now += 10ms) {
        while (!pending.empty() && pending.front().first <= now) {
            leadership.leaseRenewed(pending.front().second);
            pending.pop_front();
        }
        const auto actions = leadership.tick(0, now);
        ASSERT_FALSE(has<LostLeadership>(actions)) << (now - start) / 1ms << " ms";
        if (has<RenewLease>(actions)) {
            ++renewals;
            pending.emplace_back(now + roundTrip, callOf<RenewLease>(actions));
        }
    }
    // No more calls to the store than with immediate answers.
    EXPECT_LE(renewals, 10s / LeadershipSettings().renewInterval);
}

TEST(GroupLeadership, unansweredRenewalsAreNotRepeatedAtEveryTick)
{
    auto leadership = leaderAtStart();
    int renewals = 0;
    for (auto now = start; now < start + 900ms; now += 10ms) {
        const auto actions = leadership.tick(0, now);
        if (has<RenewLease>(actions)) {
            ++renewals;
            leadership.callFailed(callOf<RenewLease>(actions), false, now);
        }
    }
    EXPECT_LE(renewals, 8);
}

TEST(GroupLeadership, leaseGrantedAfterItsExpiryIsNotUsed)
{
    const LeadershipSettings settings;
    GroupLeadership leadership(settings);
    const auto grant = callOf<GrantLease>(leadership.tick(0, start));
    EXPECT_FALSE(has<WriteLeaderKey>(leadership.leaseGranted(grant, 1, start + settings.timeToLive)));
}

/// Members compete for leadership at a slow store that loses answers; all use the same clock. At most one member leads
/// at a time, and fencing tokens only grow.
RC_GTEST_PROP(GroupLeadershipFuzz, neverTwoLeadersAtATime, ())
{
    constexpr std::size_t members = 3;
    const LeadershipSettings settings;
    std::vector<GroupLeadership> group(members, GroupLeadership(settings));
    core::TimePoint now = start;
    std::uint64_t revision = 10;
    std::uint64_t lastLease = 0;
    std::map<std::uint64_t, core::TimePoint> leaseEnds;
    std::optional<std::uint64_t> keyLease;
    std::uint64_t newestToken = 0;
    std::vector<std::pair<std::size_t, LeadershipAction>> calls;
    const auto add = [&](std::size_t member, const LeadershipActions &actions) {
        for (const auto &action : actions) {
            if (const auto *leads = std::get_if<BecameLeader>(&action)) {
                RC_ASSERT(leads->fencingToken.number() > newestToken);
                newestToken = leads->fencingToken.number();
            } else {
                calls.emplace_back(member, action);
            }
        }
    };
    const auto execute = [&](std::size_t member, const LeadershipAction &action, bool isAnswered) {
        if (const auto *grant = std::get_if<GrantLease>(&action)) {
            leaseEnds[++lastLease] = now + settings.timeToLive;
            add(member,
                isAnswered ? group[member].leaseGranted(grant->call, lastLease, now)
                           : group[member].callFailed(grant->call, false, now));
        } else if (const auto *write = std::get_if<WriteLeaderKey>(&action)) {
            const bool isFree = !keyLease || now >= leaseEnds[*keyLease];
            const bool isLeaseAlive = now < leaseEnds[write->lease];
            std::optional<std::uint64_t> written;
            if (isFree && isLeaseAlive) {
                keyLease = write->lease;
                written = ++revision;
            }
            add(member,
                isAnswered ? group[member].keyWritten(write->call, written, {}, now)
                           : group[member].callFailed(write->call, false, now));
        } else if (const auto *renew = std::get_if<RenewLease>(&action)) {
            const bool isAlive = now < leaseEnds[renew->lease];
            if (isAlive) {
                leaseEnds[renew->lease] = now + settings.timeToLive;
            }
            if (!isAnswered) {
                add(member, group[member].callFailed(renew->call, false, now));
            } else {
                add(member,
                    isAlive ? group[member].leaseRenewed(renew->call)
                            : group[member].callFailed(renew->call, true, now));
            }
        }
    };
    const int steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 250));
        for (std::size_t member = 0; member < members; ++member) {
            add(member, group[member].tick(member, now));
        }
        if (!calls.empty() && *rc::gen::inRange(0, 5) != 0) {
            const auto at = *rc::gen::inRange<std::size_t>(0, calls.size());
            const auto [member, action] = calls[at];
            calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(at));
            execute(member, action, *rc::gen::inRange(0, 4) != 0);
        }
        int leaders = 0;
        for (const auto &each : group) {
            leaders += each.isLeader() ? 1 : 0;
        }
        RC_ASSERT(leaders <= 1);
    }
}

} // namespace lycheelanding::decisions::mapswitch

#include "lycheelanding/decisions/distribution/storeera.h"

#include "lycheelanding/decisions/distribution/prefixfollower.h"
#include "lycheelanding/decisions/mapswitch/groupleadership.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lycheelanding::decisions::distribution {

namespace {

using namespace std::chrono_literals;
using namespace mapswitch;

const core::TimePoint start = core::TimePoint(1h);

/// A store that can come back from an older copy of its data.
class RestorableStore
{
public:
    struct Data
    {
        std::uint64_t revision = 7;
        std::map<std::string, KeyValue> keyValues;
        std::deque<std::variant<KeyValue, RemovedKey>> history;
        std::uint64_t lastLease = 0;
        std::map<std::uint64_t, core::TimePoint> leaseEnds;
        std::optional<std::uint64_t> leaderLease;
    };

    void write(const std::string &key, const std::string &value)
    {
        KeyValue written{key, value, ++data.revision};
        data.keyValues[key] = written;
        data.history.emplace_back(written);
    }

    void remove(const std::string &key)
    {
        if (data.keyValues.erase(key) > 0) {
            data.history.emplace_back(RemovedKey{key, ++data.revision});
        }
    }

    void takeCopy() { m_copy = data; }

    void restoreCopy()
    {
        data = m_copy;
        ++era;
    }

    KeyPage page(const std::string &afterKey) const
    {
        KeyPage page;
        page.atRevision = data.revision;
        for (auto at = data.keyValues.upper_bound(afterKey); at != data.keyValues.end(); ++at) {
            if (page.keyValues.size() == 2) {
                page.hasMore = true;
                break;
            }
            page.keyValues.push_back(at->second);
        }
        return page;
    }

    /// Empty for a revision that the store does not have.
    std::optional<WatchEvents> eventsAfter(std::uint64_t revision) const
    {
        if (revision > data.revision) {
            return std::nullopt;
        }
        WatchEvents events;
        events.atRevision = data.revision;
        for (const auto &event : data.history) {
            if (std::visit([](const auto &each) { return each.revision; }, event) > revision) {
                events.events.push_back(event);
            }
        }
        return events;
    }

    Data data;
    std::uint64_t era = 1;

private:
    Data m_copy;
};

/// A follower whose calls are executed and answered at different times, in any order.
class FollowingProcess
{
public:
    explicit FollowingProcess(RestorableStore &store) : m_store(store) { apply(m_follower.start(now)); }

    /// The store executes one of the calls that are under way.
    void executeCall(std::size_t choice)
    {
        if (m_calls.empty()) {
            return;
        }
        const auto at = m_calls.begin() + static_cast<std::ptrdiff_t>(choice % m_calls.size());
        Answer answer{m_store.era, at->call, std::nullopt, std::nullopt, false};
        if (at->page) {
            answer.page = m_store.page(at->page->afterKey);
        } else {
            answer.events = m_store.eventsAfter(at->watch->afterRevision);
            answer.isGone = !answer.events;
        }
        m_calls.erase(at);
        m_answers.push_back(std::move(answer));
    }

    /// One of the answers arrives.
    void deliverAnswer(std::size_t choice)
    {
        if (m_answers.empty()) {
            return;
        }
        const auto at = m_answers.begin() + static_cast<std::ptrdiff_t>(choice % m_answers.size());
        const auto answer = std::move(*at);
        m_answers.erase(at);
        const auto check = m_era.check(std::to_string(answer.era));
        if (check == EraCheck::Advanced) {
            apply(m_follower.eraChanged(now));
        }
        if (!isUsable(check)) {
            apply(m_follower.callFailed(answer.call, StoreCallFailure::Unavailable, now));
        } else if (answer.page) {
            apply(m_follower.pageRead(answer.call, *answer.page, now));
        } else if (answer.events) {
            apply(m_follower.watchEnded(answer.call, *answer.events, now));
        } else {
            apply(m_follower.callFailed(answer.call, StoreCallFailure::Expired, now));
        }
    }

    void tick() { apply(m_follower.tick(now)); }

    std::map<std::string, KeyValue> view;
    core::TimePoint now = start;

private:
    struct Call
    {
        StoreCallNumber call;
        std::optional<ReadPage> page;
        std::optional<WatchPrefix> watch;
    };
    struct Answer
    {
        std::uint64_t era = 0;
        StoreCallNumber call;
        std::optional<KeyPage> page;
        std::optional<WatchEvents> events;
        bool isGone = false;
    };

    void apply(const FollowerActions &actions)
    {
        for (const auto &action : actions) {
            if (const auto *read = std::get_if<ReadPage>(&action)) {
                m_calls.push_back({read->call, *read, std::nullopt});
            } else if (const auto *watch = std::get_if<WatchPrefix>(&action)) {
                m_calls.push_back({watch->call, std::nullopt, *watch});
            } else if (const auto *listed = std::get_if<KeysListed>(&action)) {
                view.clear();
                for (const auto &keyValue : listed->keyValues) {
                    view[keyValue.key] = keyValue;
                }
            } else if (const auto *written = std::get_if<KeyWritten>(&action)) {
                view[written->keyValue.key] = written->keyValue;
            } else if (const auto *removed = std::get_if<KeyRemoved>(&action)) {
                view.erase(removed->key);
            }
        }
    }

    RestorableStore &m_store;
    EraTracker m_era;
    PrefixFollower m_follower{FollowerSettings()};
    std::vector<Call> m_calls;
    std::vector<Answer> m_answers;
};

} // namespace

TEST(EraTracker, laterEraAdvancesOnce)
{
    EraTracker tracker;
    EXPECT_EQ(tracker.check("4"), EraCheck::Current);
    EXPECT_EQ(tracker.check("4"), EraCheck::Current);
    EXPECT_EQ(tracker.check("5"), EraCheck::Advanced);
    EXPECT_EQ(tracker.check("5"), EraCheck::Current);
    EXPECT_EQ(tracker.current(), StoreEra(5));
}

TEST(EraTracker, answersOfNoCurrentEraAreNotUsable)
{
    EraTracker tracker;
    tracker.check("4");
    EXPECT_EQ(tracker.check("3"), EraCheck::Outdated);
    EXPECT_EQ(tracker.check(std::nullopt), EraCheck::Missing);
    for (const char *text : {"", "x", "4x", " 4", "-4", "4.0", "99999999999999999999999"}) {
        EXPECT_EQ(tracker.check(text), EraCheck::Invalid) << text;
        EXPECT_FALSE(isUsable(tracker.check(text)));
    }
    EXPECT_EQ(tracker.current(), StoreEra(4));
}

TEST(EraTracker, storeThatNamesNoErasHasOne)
{
    EraTracker tracker;
    EXPECT_EQ(tracker.check(std::nullopt), EraCheck::Current);
    EXPECT_EQ(tracker.check(std::nullopt), EraCheck::Current);
    EXPECT_EQ(tracker.current(), StoreEra());
}

// Revisions that are given out again: without the era a watch from an earlier one misses what lies in between, and
// newer values of a key are dropped as older ones.
RC_GTEST_PROP(StoreEraFuzz, followerConvergesToARestoredStore, ())
{
    RestorableStore store;
    store.takeCopy();
    FollowingProcess process(store);
    const int steps = *rc::gen::inRange(1, 150);
    for (int step = 0; step < steps; ++step) {
        process.now += std::chrono::milliseconds(*rc::gen::inRange(0, 200));
        const std::string key(1, static_cast<char>('a' + *rc::gen::inRange(0, 5)));
        const auto choice = *rc::gen::inRange<std::size_t>(0, 100);
        switch (*rc::gen::inRange(0, 10)) {
        case 0:
        case 1:
        case 2:
            store.write(key, std::to_string(step));
            break;
        case 3:
            store.remove(key);
            break;
        case 4:
            store.takeCopy();
            break;
        case 5:
            store.restoreCopy();
            break;
        case 6:
        case 7:
            process.executeCall(choice);
            break;
        default:
            process.deliverAnswer(choice);
        }
        process.tick();
    }
    for (int round = 0; round < 60; ++round) {
        process.now += 200ms;
        process.tick();
        process.executeCall(0);
        process.deliverAnswer(0);
    }
    RC_ASSERT(process.view == store.data.keyValues);
}

// A counter that has gone back gives out a fencing token again, and an engine obeys both leaders that show it.
RC_GTEST_PROP(StoreEraFuzz, noFencingTokenIsUsedTwice, ())
{
    constexpr std::size_t members = 3;
    const LeadershipSettings settings;
    RestorableStore store;
    store.takeCopy();
    std::vector<GroupLeadership> group(members, GroupLeadership(settings));
    std::vector<EraTracker> eras(members);
    core::TimePoint now = start;
    std::set<FencingToken> tokens;
    // The newest token of each member.
    std::vector<FencingToken> newest(members);
    struct Answer
    {
        std::size_t member = 0;
        LeadershipAction action;
        std::uint64_t era = 0;
        std::uint64_t number = 0;
        bool isDone = false;
    };
    std::vector<std::pair<std::size_t, LeadershipAction>> calls;
    std::vector<Answer> answers;
    const auto add = [&](std::size_t member, const LeadershipActions &actions) {
        for (const auto &action : actions) {
            if (const auto *leads = std::get_if<BecameLeader>(&action)) {
                // Of two leaders that overlap, because one has not heard of the new era yet, the token may be lower
                // that is shown later; engines refuse it then.
                RC_ASSERT(tokens.insert(leads->fencingToken).second);
                RC_ASSERT(leads->fencingToken > newest[member]);
                newest[member] = leads->fencingToken;
            } else if (!std::holds_alternative<LostLeadership>(action)) {
                calls.emplace_back(member, action);
            }
        }
    };
    const auto execute = [&](std::size_t member, const LeadershipAction &action) {
        auto &data = store.data;
        Answer answer{member, action, store.era, 0, false};
        if (std::holds_alternative<GrantLease>(action)) {
            data.leaseEnds[++data.lastLease] = now + settings.timeToLive;
            answer.number = data.lastLease;
            answer.isDone = true;
        } else if (const auto *write = std::get_if<WriteLeaderKey>(&action)) {
            const auto isAlive
                = [&](std::uint64_t lease) { return data.leaseEnds.contains(lease) && now < data.leaseEnds[lease]; };
            if ((!data.leaderLease || !isAlive(*data.leaderLease)) && isAlive(write->lease)) {
                data.leaderLease = write->lease;
                answer.number = ++data.revision;
                answer.isDone = true;
            }
        } else if (const auto *renew = std::get_if<RenewLease>(&action)) {
            const auto found = data.leaseEnds.find(renew->lease);
            answer.isDone = found != data.leaseEnds.end() && now < found->second;
            if (answer.isDone) {
                found->second = now + settings.timeToLive;
            }
        }
        answers.push_back(answer);
    };
    const auto deliver = [&](const Answer &answer) {
        auto &member = group[answer.member];
        auto &era = eras[answer.member];
        const auto check = era.check(std::to_string(answer.era));
        if (check == EraCheck::Advanced) {
            add(answer.member, member.eraChanged(now));
            RC_ASSERT(!member.isLeader());
        }
        if (const auto *grant = std::get_if<GrantLease>(&answer.action)) {
            add(answer.member,
                isUsable(check) ? member.leaseGranted(grant->call, answer.number, now)
                                : member.callFailed(grant->call, false, now));
        } else if (const auto *write = std::get_if<WriteLeaderKey>(&answer.action)) {
            const auto revision = answer.isDone ? std::optional(answer.number) : std::nullopt;
            add(answer.member,
                isUsable(check) ? member.keyWritten(write->call, revision, era.current(), now)
                                : member.callFailed(write->call, false, now));
        } else if (const auto *renew = std::get_if<RenewLease>(&answer.action)) {
            add(answer.member,
                isUsable(check) && answer.isDone ? member.leaseRenewed(renew->call)
                                                 : member.callFailed(renew->call, isUsable(check), now));
        }
    };
    const int steps = *rc::gen::inRange(1, 250);
    for (int step = 0; step < steps; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 150));
        for (std::size_t member = 0; member < members; ++member) {
            add(member, group[member].tick(member, now));
        }
        const int what = *rc::gen::inRange(0, 12);
        if (what == 0) {
            store.takeCopy();
        } else if (what == 1) {
            store.restoreCopy();
        } else if (what < 7 && !calls.empty()) {
            const auto at = *rc::gen::inRange<std::size_t>(0, calls.size());
            const auto [member, action] = calls[at];
            calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(at));
            execute(member, action);
        } else if (!answers.empty()) {
            const auto at = *rc::gen::inRange<std::size_t>(0, answers.size());
            const auto answer = answers[at];
            answers.erase(answers.begin() + static_cast<std::ptrdiff_t>(at));
            deliver(answer);
        }
    }
}

} // namespace lycheelanding::decisions::distribution

#include "lycheelanding/decisions/distribution/prefixfollower.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <optional>

namespace lycheelanding::decisions::distribution {

namespace {

using namespace std::chrono_literals;

const core::TimePoint start = core::TimePoint(1h);

template <typename Action>
std::optional<Action> actionIn(const FollowerActions &actions)
{
    for (const auto &action : actions) {
        if (const auto *found = std::get_if<Action>(&action)) {
            return *found;
        }
    }
    return std::nullopt;
}

/// A store that keeps its whole history until dropHistory().
class FakeStore
{
public:
    void write(const std::string &key, const std::string &value) { change(KeyValue{key, value, ++m_revision}); }
    void remove(const std::string &key)
    {
        if (m_keyValues.contains(key)) {
            change(RemovedKey{key, ++m_revision});
        }
    }
    void dropHistory()
    {
        m_history.clear();
        m_historyStart = m_revision;
    }

    KeyPage page(const std::string &afterKey, std::size_t size) const
    {
        KeyPage page;
        page.atRevision = m_revision;
        for (auto at = m_keyValues.upper_bound(afterKey); at != m_keyValues.end(); ++at) {
            if (page.keyValues.size() == size) {
                page.hasMore = true;
                break;
            }
            page.keyValues.push_back(at->second);
        }
        return page;
    }

    std::optional<WatchEvents> eventsAfter(std::uint64_t revision) const
    {
        if (revision < m_historyStart) {
            return std::nullopt;
        }
        WatchEvents events;
        events.atRevision = m_revision;
        for (const auto &event : m_history) {
            const auto at = std::visit([](const auto &each) { return each.revision; }, event);
            if (at > revision) {
                events.events.push_back(event);
            }
        }
        return events;
    }

    const std::map<std::string, KeyValue> &keyValues() const { return m_keyValues; }

private:
    void change(const std::variant<KeyValue, RemovedKey> &event)
    {
        m_history.push_back(event);
        if (const auto *written = std::get_if<KeyValue>(&event)) {
            m_keyValues[written->key] = *written;
        } else {
            m_keyValues.erase(std::get<RemovedKey>(event).key);
        }
    }

    std::uint64_t m_revision = 7;
    std::uint64_t m_historyStart = 0;
    std::map<std::string, KeyValue> m_keyValues;
    std::deque<std::variant<KeyValue, RemovedKey>> m_history;
};

} // namespace

TEST(PrefixFollower, readsAllPagesAndWatchesFromTheFirst)
{
    PrefixFollower follower({});
    auto page = actionIn<ReadPage>(follower.start(start));
    ASSERT_TRUE(page);
    auto actions = follower.pageRead(page->call, {{{"a", "1", 3}}, true, 10}, start);
    page = actionIn<ReadPage>(actions);
    ASSERT_TRUE(page);
    EXPECT_EQ(page->afterKey, "a");
    actions = follower.pageRead(page->call, {{{"b", "2", 12}}, false, 14}, start);
    EXPECT_EQ(actionIn<KeysListed>(actions)->keyValues.size(), 2U);
    const auto watch = actionIn<WatchPrefix>(actions);
    EXPECT_EQ(watch->afterRevision, 10U);
    // The watch reports "b" again, which the second page already contained.
    actions = follower.watchEnded(watch->call, {{KeyValue{"b", "2", 12}, KeyValue{"a", "3", 15}}, 15}, start);
    EXPECT_EQ(actionIn<KeyWritten>(actions)->keyValue, (KeyValue{"a", "3", 15}));
    EXPECT_EQ(actionIn<WatchPrefix>(actions)->afterRevision, 15U);
}

TEST(PrefixFollower, listsAgainAfterDroppedHistory)
{
    PrefixFollower follower({});
    auto page = actionIn<ReadPage>(follower.start(start));
    auto watch = actionIn<WatchPrefix>(follower.pageRead(page->call, {{}, false, 10}, start));
    const auto actions = follower.callFailed(watch->call, StoreCallFailure::Expired, start);
    EXPECT_TRUE(actionIn<ReadPage>(actions));
    EXPECT_FALSE(actionIn<ContactLost>(actions));
}

TEST(PrefixFollower, unansweredWatchCountsAsLostAndKeysAreListedAgain)
{
    const FollowerSettings settings;
    PrefixFollower follower(settings);
    const auto page = actionIn<ReadPage>(follower.start(start));
    const auto watch = actionIn<WatchPrefix>(follower.pageRead(page->call, {{}, false, 10}, start));
    const auto end = start + settings.watchDuration + settings.watchTimeoutMargin;
    EXPECT_TRUE(follower.tick(end - 1ms).empty());
    const auto lost = follower.tick(end);
    EXPECT_EQ(actionIn<CancelCall>(lost)->call, watch->call);
    EXPECT_TRUE(actionIn<ContactLost>(lost));
    const auto again = actionIn<ReadPage>(follower.tick(end + settings.maxRetryDelay));
    ASSERT_TRUE(again);
    EXPECT_TRUE(actionIn<ContactRegained>(follower.pageRead(again->call, {{}, false, 11}, end)));
}

/// The store drops its history while a watch reports no change. The next configuration version was once known 6 s late
/// because of this.
TEST(PrefixFollower, changeMissedByAWatchIsKnownWithinTheUndisturbedTime)
{
    constexpr std::chrono::milliseconds undisturbedTime{3000};
    const FollowerSettings settings;
    PrefixFollower follower(settings);
    const auto page = actionIn<ReadPage>(follower.start(start));
    const auto missingWatch = actionIn<WatchPrefix>(follower.pageRead(page->call, {{}, false, 10}, start));
    auto now = start + settings.watchDuration;
    const auto next = actionIn<WatchPrefix>(follower.watchEnded(missingWatch->call, {{}, 10}, now));
    const auto again = actionIn<ReadPage>(follower.callFailed(next->call, StoreCallFailure::Expired, now));
    const auto listed = actionIn<KeysListed>(follower.pageRead(again->call, {{{"a", "2", 12}}, false, 12}, now));
    EXPECT_EQ(listed->keyValues.front().value, "2");
    EXPECT_LT(now - start, undisturbedTime);
}

// Connections to the store went silent during the pause before a watch, which was then sent on one of them. The entry
// noticed it 4 s later, and until then sent requests to backend servers that drained.
TEST(PrefixFollower, watchOnASilentConnectionIsReplacedWithinTheUndisturbedTime)
{
    constexpr std::chrono::milliseconds undisturbedTime{3000};
    FollowerSettings settings;
    settings.minWatchInterval = 400ms;
    PrefixFollower follower(settings);
    const auto page = actionIn<ReadPage>(follower.start(start));
    const auto watch = actionIn<WatchPrefix>(follower.pageRead(page->call, {{}, false, 10}, start));
    follower.watchEnded(watch->call, {{KeyValue{"a", "1", 11}}, 11}, start);
    const auto silentSince = start;
    std::optional<ReadPage> again;
    auto now = start;
    for (; !again && now < start + 10s; now += 25ms) {
        again = actionIn<ReadPage>(follower.tick(now));
    }
    ASSERT_TRUE(again);
    EXPECT_LT(now - silentSince, undisturbedTime);
}

TEST(PrefixFollower, retryDelaysGrowWhileTheStoreIsUnavailable)
{
    const FollowerSettings settings;
    PrefixFollower follower(settings);
    auto page = actionIn<ReadPage>(follower.start(start));
    auto now = start;
    int calls = 0;
    while (now < start + 20s) {
        if (page) {
            ++calls;
            follower.callFailed(page->call, StoreCallFailure::Unavailable, now);
        }
        now += 10ms;
        page = actionIn<ReadPage>(follower.tick(now));
    }
    EXPECT_LE(calls, 50);
    EXPECT_GE(calls, 20);
}

TEST(PrefixFollower, resumedProcessListsAgain)
{
    PrefixFollower follower({});
    const auto page = actionIn<ReadPage>(follower.start(start));
    const auto watch = actionIn<WatchPrefix>(follower.pageRead(page->call, {{}, false, 10}, start));
    const auto actions = follower.resumed(start + 1s);
    EXPECT_EQ(actionIn<CancelCall>(actions)->call, watch->call);
    EXPECT_TRUE(actionIn<ReadPage>(actions));
    EXPECT_TRUE(follower.watchEnded(watch->call, {{KeyValue{"a", "1", 11}}, 11}, start + 1s).empty());
}

// Backend servers renew their registrations, so that each watch of 192 of them ended at once: an entry called the store
// five times a second, and more with each further server.
TEST(PrefixFollower, prefixThatChangesAllTheTimeIsWatchedAtABoundedRate)
{
    FollowerSettings settings;
    settings.minWatchInterval = 400ms;
    PrefixFollower follower(settings);
    const auto page = actionIn<ReadPage>(follower.start(start));
    auto watch = actionIn<WatchPrefix>(follower.pageRead(page->call, {{}, false, 10}, start));
    int watches = 0;
    std::uint64_t revision = 10;
    int seen = 0;
    for (auto time = 0ms; time < 10s; time += 5ms) {
        FollowerActions actions;
        if (watch) {
            ++watches;
            ++revision;
            actions = follower.watchEnded(watch->call, {{KeyValue{"a", "1", revision}}, revision}, start + time);
            seen += actionIn<KeyWritten>(actions) ? 1 : 0;
        } else {
            actions = follower.tick(start + time);
        }
        watch = actionIn<WatchPrefix>(actions);
    }
    EXPECT_LE(watches, 26);
    EXPECT_EQ(seen, watches);
}

/// With lost calls, late answers, dropped history and changes between pages, the follower never reverts a key to an
/// older revision, and its view equals the store's content once calls succeed and nothing changes.
RC_GTEST_PROP(PrefixFollowerFuzz, convergesToTheStoreAndNeverRevertsAKey, ())
{
    FollowerSettings settings;
    settings.minWatchInterval = std::chrono::milliseconds(*rc::gen::element(0, 400));
    PrefixFollower follower(settings);
    FakeStore store;
    std::map<std::string, KeyValue> view;
    std::map<std::string, std::uint64_t> newest;
    std::optional<ReadPage> page;
    std::optional<WatchPrefix> watch;
    core::TimePoint now = start;
    const auto apply = [&](const FollowerActions &actions) {
        for (const auto &action : actions) {
            if (const auto *read = std::get_if<ReadPage>(&action)) {
                page = *read;
                watch.reset();
            } else if (const auto *wait = std::get_if<WatchPrefix>(&action)) {
                watch = *wait;
                page.reset();
            } else if (const auto *listed = std::get_if<KeysListed>(&action)) {
                view.clear();
                for (const auto &keyValue : listed->keyValues) {
                    RC_ASSERT(keyValue.revision >= newest[keyValue.key]);
                    newest[keyValue.key] = keyValue.revision;
                    view[keyValue.key] = keyValue;
                }
            } else if (const auto *written = std::get_if<KeyWritten>(&action)) {
                RC_ASSERT(written->keyValue.revision > newest[written->keyValue.key]);
                newest[written->keyValue.key] = written->keyValue.revision;
                view[written->keyValue.key] = written->keyValue;
            } else if (const auto *removed = std::get_if<KeyRemoved>(&action)) {
                view.erase(removed->key);
            }
        }
    };
    const auto answer = [&] {
        if (page) {
            const auto call = *std::exchange(page, std::nullopt);
            apply(follower.pageRead(call.call, store.page(call.afterKey, 2), now));
        } else if (watch) {
            const auto call = *std::exchange(watch, std::nullopt);
            const auto events = store.eventsAfter(call.afterRevision);
            apply(events ? follower.watchEnded(call.call, *events, now)
                         : follower.callFailed(call.call, StoreCallFailure::Expired, now));
        }
    };
    apply(follower.start(now));
    const int steps = *rc::gen::inRange(1, 120);
    for (int step = 0; step < steps; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 300));
        const std::string key(1, static_cast<char>('a' + *rc::gen::inRange(0, 6)));
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
        case 1:
            store.write(key, std::to_string(step));
            break;
        case 2:
            store.remove(key);
            break;
        case 3:
            store.dropHistory();
            break;
        case 4:
            if (page || watch) {
                apply(follower.callFailed(page ? page->call : watch->call, StoreCallFailure::Unavailable, now));
            }
            break;
        case 5:
            apply(follower.resumed(now));
            break;
        default:
            answer();
        }
        apply(follower.tick(now));
    }
    for (int round = 0; round < 40; ++round) {
        now += 500ms;
        apply(follower.tick(now));
        answer();
    }
    RC_ASSERT(view == store.keyValues());
}

} // namespace lycheelanding::decisions::distribution

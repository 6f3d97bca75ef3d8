#include "lycheelanding/decisions/distribution/prefixfollower.h"
#include "lycheelanding/decisions/membership/backenddirectory.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace lycheelanding::decisions::membership {

namespace {

using namespace std::chrono_literals;
using namespace distribution;

const core::TimePoint start = core::TimePoint(1h);
/// A connection that does not open within this time fails its call.
constexpr auto connectTimeout = 300ms;

/// A registry with a follower and a directory, in virtual time. Calls are answered at once unless they are held.
class FollowedRegistry
{
public:
    explicit FollowedRegistry(const FollowerSettings &settings = {}) : m_follower(settings) { }

    void begin() { apply(m_follower.start(now)); }
    void add(const std::string &id)
    {
        m_registered[id] = ++m_revision;
        changed();
    }
    void remove(const std::string &id)
    {
        m_registered.erase(id);
        ++m_revision;
        m_removed[id] = m_revision;
        changed();
    }
    /// New connections do not open, and calls in progress get no answer.
    void beginSilence()
    {
        m_isSilent = true;
        m_watch.reset();
    }
    void endSilence() { m_isSilent = false; }
    void cutWatch()
    {
        if (m_watch) {
            apply(
                m_follower.callFailed(std::exchange(m_watch, std::nullopt)->call, StoreCallFailure::Unavailable, now));
        }
    }
    void advance(core::Duration time)
    {
        constexpr auto interval = 25ms;
        for (const auto end = now + time; now < end;) {
            now += interval;
            if (m_unopened && now >= m_unopenedUntil) {
                const auto call = *std::exchange(m_unopened, std::nullopt);
                apply(m_follower.callFailed(call, StoreCallFailure::Unavailable, now));
            }
            apply(m_follower.tick(now));
            apply(m_directory.tick(now));
        }
    }
    bool isUsed(const std::string &id) const { return m_used.contains(id); }

    core::TimePoint now = start;

private:
    KeyValue keyValueOf(const std::string &id) const { return {id, {}, m_registered.at(id)}; }

    /// Answers a waiting watch.
    void changed()
    {
        if (!m_watch) {
            return;
        }
        const auto watch = *std::exchange(m_watch, std::nullopt);
        WatchEvents events{{}, m_revision};
        for (const auto &[id, revision] : m_registered) {
            if (revision > watch.afterRevision) {
                events.events.emplace_back(keyValueOf(id));
            }
        }
        for (const auto &[id, revision] : m_removed) {
            if (revision > watch.afterRevision) {
                events.events.emplace_back(RemovedKey{id, revision});
            }
        }
        apply(m_follower.watchEnded(watch.call, events, now));
    }

    static RegisteredBackend backendOf(const KeyValue &keyValue)
    {
        RegisteredBackend backend;
        backend.id = BackendId(keyValue.key);
        backend.address = "10.0.0.1:" + std::to_string(8000 + keyValue.key.front());
        return backend;
    }

    void apply(const FollowerActions &actions)
    {
        for (const auto &action : actions) {
            std::visit([this](const auto &each) { apply(each); }, action);
        }
    }
    void apply(const ReadPage &read)
    {
        m_watch.reset();
        if (m_isSilent) {
            m_unopened = read.call;
            m_unopenedUntil = now + connectTimeout;
            return;
        }
        KeyPage page;
        page.atRevision = m_revision;
        for (const auto &[id, revision] : m_registered) {
            page.keyValues.push_back(keyValueOf(id));
        }
        apply(m_follower.pageRead(read.call, page, now));
    }
    void apply(const WatchPrefix &watch)
    {
        if (!m_isSilent) {
            m_watch = watch;
        }
    }
    void apply(const CancelCall &) { m_watch.reset(); }
    void apply(const KeysListed &listed)
    {
        std::vector<RegisteredBackend> backends;
        for (const auto &keyValue : listed.keyValues) {
            backends.push_back(backendOf(keyValue));
        }
        apply(m_directory.listed(backends, now));
    }
    void apply(const KeyWritten &written) { apply(m_directory.registered(backendOf(written.keyValue), now)); }
    void apply(const KeyRemoved &removed) { apply(m_directory.removed(BackendId(removed.key), now)); }
    void apply(const ContactLost &) { }
    void apply(const ContactRegained &regained)
    {
        m_directory.registryRegained({regained.lastContact, regained.earliestReturn}, now);
    }
    void apply(const DirectoryChanges &changes)
    {
        for (const auto &change : changes) {
            if (const auto *usable = std::get_if<BackendUsable>(&change)) {
                m_used.insert(usable->backend.id.text());
            } else {
                m_used.erase(std::get<BackendUnusable>(change).id.text());
            }
        }
    }

    PrefixFollower m_follower;
    BackendDirectory m_directory{DirectorySettings()};
    std::uint64_t m_revision = 10;
    std::map<std::string, std::uint64_t> m_registered;
    std::map<std::string, std::uint64_t> m_removed;
    std::optional<WatchPrefix> m_watch;
    bool m_isSilent = false;
    /// A call whose connection does not open.
    std::optional<StoreCallNumber> m_unopened;
    core::TimePoint m_unopenedUntil;
    std::set<std::string> m_used;
};

} // namespace

// Watches that were cut counted as an outage of the registry: a backend server that left within 2.5 s after that got
// requests until the end of this time, some of them later than its drain time.
TEST(RegistryOutage, removalRightAfterCutWatchesEndsUseAtOnce)
{
    FollowedRegistry registry;
    registry.begin();
    registry.add("a");
    registry.add("b");
    for (int cut = 0; cut < 3; ++cut) {
        registry.advance(100ms);
        registry.cutWatch();
    }
    registry.advance(100ms);
    registry.remove("a");
    EXPECT_FALSE(registry.isUsed("a"));
    EXPECT_TRUE(registry.isUsed("b"));
}

// The same with a removal that the listing after the cut shows.
TEST(RegistryOutage, removalBetweenACutAndTheNextListingEndsUseAtOnce)
{
    FollowedRegistry registry;
    registry.begin();
    registry.add("a");
    registry.cutWatch();
    registry.remove("a");
    registry.advance(100ms);
    EXPECT_FALSE(registry.isUsed("a"));
}

// Connections that fell silent are no outage of the registry: the watch on one of them is lost, and the listing that
// follows is right.
TEST(RegistryOutage, removalDuringASilentWatchEndsUseWithinTheUndisturbedTime)
{
    const DirectorySettings settings;
    FollowerSettings followerSettings;
    followerSettings.minWatchInterval = 400ms;
    FollowedRegistry registry(followerSettings);
    registry.begin();
    registry.add("a");
    const auto silentSince = registry.now;
    registry.beginSilence();
    registry.advance(500ms);
    registry.remove("a");
    registry.advance(1500ms);
    // New connections work all the time.
    registry.endSilence();
    registry.advance(silentSince + settings.undisturbedTime - registry.now);
    EXPECT_FALSE(registry.isUsed("a"));
}

// The registry was cut off from this entry alone: a backend server that left meanwhile stayed in use for 2.5 s after
// the first answer, which may come a second after the end of the cut.
TEST(RegistryOutage, removalDuringAnOutageEndsUseWithinTheUndisturbedTimeAfterIt)
{
    const DirectorySettings settings;
    for (auto length = 2500ms; length < 6000ms; length += 100ms) {
        FollowedRegistry registry;
        registry.begin();
        registry.add("a");
        registry.beginSilence();
        registry.advance(length / 2);
        registry.remove("a");
        registry.advance(length - length / 2);
        registry.endSilence();
        registry.advance(settings.undisturbedTime);
        EXPECT_FALSE(registry.isUsed("a")) << length.count();
    }
}

// Registrations lapse while their backend servers cannot renew them; they are back within about two seconds.
TEST(RegistryOutage, registrationThatLapsedInAnOutageKeepsItsBackendInUseUntilItIsBack)
{
    constexpr auto returnTime = 2000ms;
    for (auto length = 3000ms; length < 9000ms; length += 100ms) {
        FollowedRegistry registry;
        registry.begin();
        registry.add("a");
        registry.beginSilence();
        registry.advance(length);
        registry.remove("a");
        registry.endSilence();
        for (auto time = 0ms; time < returnTime; time += 100ms) {
            EXPECT_TRUE(registry.isUsed("a")) << length.count() << " ms, " << time.count() << " ms after";
            registry.advance(100ms);
        }
        registry.add("a");
        registry.advance(5s);
        EXPECT_TRUE(registry.isUsed("a"));
    }
}

} // namespace lycheelanding::decisions::membership

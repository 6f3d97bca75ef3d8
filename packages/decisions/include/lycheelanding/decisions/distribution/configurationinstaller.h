#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"
#include "lycheelanding/core/random.h"
#include "lycheelanding/decisions/distribution/storecalls.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lycheelanding::decisions::distribution {

/// A version with its document, as the store or a peer holds it. The caller has parsed and checked the document.
struct ConfigurationBody
{
    core::ConfigurationVersion version;
    std::string document;
};

struct FetchFromPeer
{
    core::VmId peer;
    /// The version in force here: a peer that has no higher one need not answer.
    core::ConfigurationVersion known;
};

struct QueryStore
{ };

/// A call that waits at the store until the key has a revision above this one.
struct WatchStore
{
    StoreCallNumber call;
    std::uint64_t afterRevision = 0;
};

/// To be in force in this process from now on.
struct InstallVersion
{
    ConfigurationBody body;
};

/// Answers a peer's fetch with installed().
struct SendBody
{
    core::VmId peer;
};

using InstallerAction = std::variant<FetchFromPeer, QueryStore, WatchStore, InstallVersion, SendBody>;
using InstallerActions = std::vector<InstallerAction>;

struct ConfigurationInstallerSettings
{
    /// A fetch, or a question to the store, without an answer for this long is repeated elsewhere.
    core::Duration answerTimeout = std::chrono::seconds(1);
    /// Longest random delay between hearing of a higher version and the fetch; spreads the load on its first holders.
    core::Duration fetchJitter = std::chrono::milliseconds(200);
    /// Time without contact, or behind a version heard of, after which the process counts as stale.
    core::Duration staleAfter = std::chrono::seconds(10);
    /// Time between two questions to the store of a process that hears its peers.
    core::Duration storePollInterval = std::chrono::seconds(30);
    /// Delay before the store is asked again after it gave no answer; doubles up to storePollInterval.
    core::Duration storeRetryDelay = std::chrono::seconds(1);
    /// Shortest time between the end of a watch and the next one.
    core::Duration watchDelay = std::chrono::milliseconds(100);
    /// A watch without an answer for this long is taken for lost; longer than the wait at the store.
    core::Duration watchTimeout = std::chrono::seconds(40);
    /// Peers that a fresh process asks.
    std::size_t maxStartupPeers = 3;
    /// Time after which a fresh process that has found a version serves with it although not all have answered.
    core::Duration startupTimeout = std::chrono::seconds(5);
    /// Bodies sent to peers within one window; further fetches go unanswered and are repeated elsewhere.
    std::size_t maxBodiesPerWindow = 8;
    core::Duration bodyWindow = std::chrono::milliseconds(250);
    std::uint64_t seed = 1;
};

/// Decides which configuration version is in force in one process. It only ever installs a higher one.
///
/// Each event gives the actions to carry out; time passes by tick(), to be called at least every 100 ms.
class ConfigurationInstaller
{
public:
    explicit ConfigurationInstaller(ConfigurationInstallerSettings settings);

    /// First event: asks the store and some of the peers known by now.
    InstallerActions start(const std::vector<core::VmId> &peers, core::TimePoint now);
    /// A message of `peer` carried `version`.
    InstallerActions peerVersionSeen(const core::VmId &peer, core::ConfigurationVersion version, core::TimePoint now);
    InstallerActions bodyReceived(const core::VmId &peer, ConfigurationBody body, core::TimePoint now);
    /// A version learned in another way, such as by accepting a patch.
    InstallerActions versionLearned(ConfigurationBody body, core::TimePoint now);
    /// The answer to QueryStore. `body` counts with Found only.
    InstallerActions storeAnswered(StoreReadState state, ConfigurationBody body, core::TimePoint now);
    /// The answer to WatchStore, also when the wait has ended without a change.
    InstallerActions watchAnswered(StoreCallNumber call, StoreReadState state, ConfigurationBody body,
                                   std::uint64_t revision, core::TimePoint now);
    InstallerActions fetchRequested(const core::VmId &peer, core::ConfigurationVersion known, core::TimePoint now);
    /// Whether this process is one of the few that watch the store, see isWatcher().
    InstallerActions setWatching(bool isWatching, core::TimePoint now);
    InstallerActions tick(core::TimePoint now);

    /// Version 0 with an empty text before the first installation.
    const ConfigurationBody &installed() const { return m_installed; }
    core::ConfigurationVersion version() const { return m_installed.version; }
    /// Whether the process may serve: it has a version, and the start has shown it the highest one within reach.
    bool isReady() const { return m_isStartupDone && version() > core::ConfigurationVersion(0); }
    /// Whether an accepted version may be in force elsewhere without this process knowing: it then refuses
    /// non-idempotent requests as not run, and serves the others with the version it has.
    bool isStale(core::TimePoint now) const;

private:
    bool isWithoutContact(core::TimePoint now) const;
    void scheduleStoreRetry(core::TimePoint now);
    void install(ConfigurationBody body, core::TimePoint now, InstallerActions &actions);
    void startFetch(const core::VmId &peer, core::TimePoint now, InstallerActions &actions);
    void expireFetches(core::TimePoint now);
    void fetchIfDue(core::TimePoint now, InstallerActions &actions);
    void queryStoreIfDue(core::TimePoint now, InstallerActions &actions);
    void watchIfDue(core::TimePoint now, InstallerActions &actions);
    void endStartupIfDone(core::TimePoint now);
    void recordHolder(const core::VmId &peer, core::ConfigurationVersion version, core::TimePoint now);
    core::Duration jitter(core::Duration limit);

    ConfigurationInstallerSettings m_settings;
    core::RandomSequence m_random;
    ConfigurationBody m_installed;

    bool m_isStartupDone = false;
    bool m_hasQueriedPeers = false;
    core::TimePoint m_startupDeadline;

    /// Peers that hold a higher version than this process.
    std::map<core::VmId, core::ConfigurationVersion> m_holders;
    /// Fetches in progress and when each counts as unanswered.
    std::map<core::VmId, core::TimePoint> m_fetches;
    std::optional<core::TimePoint> m_nextFetch;
    std::optional<core::TimePoint> m_behindSince;

    core::TimePoint m_lastContact;
    bool m_isStoreQueryPending = false;
    /// While the store is asked: when that counts as unanswered; else when to ask next.
    core::TimePoint m_nextStoreQuery;
    core::Duration m_storeRetryDelay{};

    bool m_isWatching = false;
    StoreCallNumber m_watchCall;
    /// While a watch is open: when it counts as lost; else when to open the next.
    core::TimePoint m_nextWatch;
    std::uint64_t m_watchRevision = 0;

    core::TimePoint m_windowEnd;
    std::size_t m_bodiesInWindow = 0;
};

} // namespace lycheelanding::decisions::distribution

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

/// A version with its document, as read from the store or from a peer. The caller has parsed and validated the
/// document.
struct ConfigurationBody
{
    core::ConfigurationVersion version;
    std::string document;
};

struct FetchFromPeer
{
    core::VmId peer;
    /// The version installed here; a peer without a higher one need not answer.
    core::ConfigurationVersion known;
};

struct QueryStore
{ };

/// Long poll: the store answers once the key has a revision above `afterRevision`.
struct WatchStore
{
    StoreCallNumber call;
    std::uint64_t afterRevision = 0;
};

/// Makes the version the active one of this process.
struct InstallVersion
{
    ConfigurationBody body;
};

/// Sends installed() in answer to a peer's fetch.
struct SendBody
{
    core::VmId peer;
};

using InstallerAction = std::variant<FetchFromPeer, QueryStore, WatchStore, InstallVersion, SendBody>;
using InstallerActions = std::vector<InstallerAction>;

struct ConfigurationInstallerSettings
{
    /// A fetch or a store query without an answer for this long is retried, a fetch at another peer.
    core::Duration answerTimeout = std::chrono::seconds(1);
    /// Maximum random delay between learning of a higher version and fetching it; spreads the load on the first peers
    /// that hold it.
    core::Duration fetchJitter = std::chrono::milliseconds(200);
    /// Time without contact, or with a known higher version not yet installed, after which the process is stale.
    core::Duration staleAfter = std::chrono::seconds(10);
    /// Time between two store queries of a process that is in contact with its peers.
    core::Duration storePollInterval = std::chrono::seconds(30);
    /// Delay before the first retry of an unanswered store query; doubles up to storePollInterval.
    core::Duration storeRetryDelay = std::chrono::seconds(1);
    /// Delay between the end of a watch and the next one.
    core::Duration watchDelay = std::chrono::milliseconds(100);
    /// A watch without an answer for this long counts as lost; longer than the store's own wait.
    core::Duration watchTimeout = std::chrono::seconds(40);
    /// Maximum number of peers that a newly started process fetches from.
    std::size_t maxStartupPeers = 3;
    /// Time after which a newly started process serves with the highest version found, even if some peers or the store
    /// have not answered.
    core::Duration startupTimeout = std::chrono::seconds(5);
    /// Bodies sent to peers per bodyWindow; further fetches go unanswered and are retried at other peers.
    std::size_t maxBodiesPerWindow = 8;
    core::Duration bodyWindow = std::chrono::milliseconds(250);
    std::uint64_t seed = 1;
};

/// Decides which configuration version is active in one process. It installs only versions higher than the current one.
///
/// Each event returns the actions to execute. tick() must be called at least every 100 ms.
class ConfigurationInstaller
{
public:
    explicit ConfigurationInstaller(ConfigurationInstallerSettings settings);

    /// First event: queries the store and fetches from some of the `peers`.
    InstallerActions start(const std::vector<core::VmId> &peers, core::TimePoint now);
    /// A message from `peer` carried `version`.
    InstallerActions peerVersionSeen(const core::VmId &peer, core::ConfigurationVersion version, core::TimePoint now);
    InstallerActions bodyReceived(const core::VmId &peer, ConfigurationBody body, core::TimePoint now);
    /// A version learned by other means, such as by accepting a patch.
    InstallerActions versionLearned(ConfigurationBody body, core::TimePoint now);
    /// The answer to QueryStore. `body` is used only with Found.
    InstallerActions storeAnswered(StoreReadState state, ConfigurationBody body, core::TimePoint now);
    /// The answer to WatchStore, also when the store's wait has ended without a change.
    InstallerActions watchAnswered(StoreCallNumber call, StoreReadState state, ConfigurationBody body,
                                   std::uint64_t revision, core::TimePoint now);
    InstallerActions fetchRequested(const core::VmId &peer, core::ConfigurationVersion known, core::TimePoint now);
    /// Whether this process is one of the few that watch the store, see isWatcher().
    InstallerActions setWatching(bool isWatching, core::TimePoint now);
    InstallerActions tick(core::TimePoint now);

    /// Version 0 with an empty document before the first installation.
    const ConfigurationBody &installed() const { return m_installed; }
    core::ConfigurationVersion version() const { return m_installed.version; }
    /// Whether the process may serve: a version is installed, and startup has found the highest reachable one.
    bool isReady() const { return m_isStartupDone && version() > core::ConfigurationVersion(0); }
    /// Whether a higher version may be active elsewhere. A stale process refuses non-idempotent requests as not run and
    /// serves the others with its installed version.
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
    /// Deadline of each fetch in progress, by peer.
    std::map<core::VmId, core::TimePoint> m_fetches;
    std::optional<core::TimePoint> m_nextFetch;
    std::optional<core::TimePoint> m_behindSince;

    core::TimePoint m_lastContact;
    bool m_isStoreQueryPending = false;
    /// While a query is pending: its deadline. Otherwise: when to send the next one.
    core::TimePoint m_nextStoreQuery;
    core::Duration m_storeRetryDelay{};

    bool m_isWatching = false;
    StoreCallNumber m_watchCall;
    /// While a watch is open: its deadline. Otherwise: when to open the next one.
    core::TimePoint m_nextWatch;
    std::uint64_t m_watchRevision = 0;

    core::TimePoint m_windowEnd;
    std::size_t m_bodiesInWindow = 0;
};

} // namespace lycheelanding::decisions::distribution

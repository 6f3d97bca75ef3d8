#include "lycheelanding/decisions/distribution/configurationinstaller.h"

#include <algorithm>
#include <utility>

namespace lycheelanding::decisions::distribution {

namespace {

/// Maximum number of holders remembered; one left out is recorded when its next message arrives.
constexpr std::size_t maxHolders = 64;

/// Store queries that a process without contact sends within staleAfter, before it counts as stale.
constexpr int queriesBeforeStale = 3;

} // namespace

ConfigurationInstaller::ConfigurationInstaller(ConfigurationInstallerSettings settings)
    : m_settings(settings), m_random(settings.seed)
{ }

InstallerActions ConfigurationInstaller::start(const std::vector<core::VmId> &peers, core::TimePoint now)
{
    InstallerActions actions;
    m_startupDeadline = now + m_settings.startupTimeout;
    m_lastContact = now;
    m_nextStoreQuery = now;
    auto candidates = peers;
    m_hasQueriedPeers = !candidates.empty();
    while (!candidates.empty() && m_fetches.size() < m_settings.maxStartupPeers) {
        const auto choice = static_cast<std::ptrdiff_t>(m_random.nextBelow(candidates.size()));
        startFetch(candidates[static_cast<std::size_t>(choice)], now, actions);
        candidates.erase(candidates.begin() + choice);
    }
    queryStoreIfDue(now, actions);
    return actions;
}

InstallerActions ConfigurationInstaller::peerVersionSeen(const core::VmId &peer, core::ConfigurationVersion version,
                                                         core::TimePoint now)
{
    InstallerActions actions;
    if (version >= m_installed.version) {
        m_lastContact = now;
    }
    if (version > m_installed.version) {
        recordHolder(peer, version, now);
        fetchIfDue(now, actions);
    }
    return actions;
}

InstallerActions ConfigurationInstaller::bodyReceived(const core::VmId &peer, ConfigurationBody body,
                                                      core::TimePoint now)
{
    InstallerActions actions;
    m_fetches.erase(peer);
    if (body.version >= m_installed.version) {
        m_lastContact = now;
    }
    install(std::move(body), now, actions);
    endStartupIfDone(now);
    return actions;
}

InstallerActions ConfigurationInstaller::versionLearned(ConfigurationBody body, core::TimePoint now)
{
    InstallerActions actions;
    m_lastContact = now;
    install(std::move(body), now, actions);
    endStartupIfDone(now);
    return actions;
}

InstallerActions ConfigurationInstaller::storeAnswered(StoreReadState state, ConfigurationBody body,
                                                       core::TimePoint now)
{
    InstallerActions actions;
    m_isStoreQueryPending = false;
    if (state == StoreReadState::Unavailable) {
        scheduleStoreRetry(now);
        endStartupIfDone(now);
        return actions;
    }
    m_lastContact = now;
    m_storeRetryDelay = {};
    m_nextStoreQuery = now + m_settings.storePollInterval + jitter(m_settings.storePollInterval / 2);
    if (state == StoreReadState::Found) {
        install(std::move(body), now, actions);
    }
    // The store holds the highest accepted version, so startup need not wait for peers.
    m_isStartupDone = true;
    return actions;
}

InstallerActions ConfigurationInstaller::watchAnswered(StoreCallNumber call, StoreReadState state,
                                                       ConfigurationBody body, std::uint64_t revision,
                                                       core::TimePoint now)
{
    InstallerActions actions;
    if (call != m_watchCall) {
        // This watch has timed out; another one has been opened since.
        return actions;
    }
    if (state == StoreReadState::Unavailable) {
        m_nextWatch = now + m_settings.storeRetryDelay + jitter(m_settings.storeRetryDelay);
        return actions;
    }
    m_lastContact = now;
    m_nextWatch = now + m_settings.watchDelay;
    m_watchRevision = revision;
    if (state == StoreReadState::Found) {
        install(std::move(body), now, actions);
    }
    return actions;
}

InstallerActions ConfigurationInstaller::fetchRequested(const core::VmId &peer, core::ConfigurationVersion known,
                                                        core::TimePoint now)
{
    if (now >= m_windowEnd) {
        m_windowEnd = now + m_settings.bodyWindow;
        m_bodiesInWindow = 0;
    }
    if (known >= m_installed.version || m_bodiesInWindow >= m_settings.maxBodiesPerWindow) {
        return {};
    }
    ++m_bodiesInWindow;
    return {SendBody{peer}};
}

InstallerActions ConfigurationInstaller::setWatching(bool isWatching, core::TimePoint now)
{
    InstallerActions actions;
    m_isWatching = isWatching;
    watchIfDue(now, actions);
    return actions;
}

InstallerActions ConfigurationInstaller::tick(core::TimePoint now)
{
    InstallerActions actions;
    expireFetches(now);
    fetchIfDue(now, actions);
    queryStoreIfDue(now, actions);
    watchIfDue(now, actions);
    endStartupIfDone(now);
    return actions;
}

bool ConfigurationInstaller::isStale(core::TimePoint now) const
{
    const bool isOutOfContact = now - m_lastContact > m_settings.staleAfter;
    const bool isBehind = m_behindSince && now - *m_behindSince > m_settings.staleAfter;
    return !isReady() || isOutOfContact || isBehind;
}

void ConfigurationInstaller::install(ConfigurationBody body, core::TimePoint now, InstallerActions &actions)
{
    if (body.version <= m_installed.version) {
        return;
    }
    if (m_installed.version == core::ConfigurationVersion(0)) {
        // Leaves time to learn of a higher version when the first one is found late.
        m_startupDeadline = std::max(m_startupDeadline, now + m_settings.answerTimeout);
    }
    m_installed = std::move(body);
    actions.emplace_back(InstallVersion{m_installed});
    std::erase_if(m_holders, [&](const auto &holder) { return holder.second <= m_installed.version; });
    m_nextFetch.reset();
    m_behindSince.reset();
    if (!m_holders.empty()) {
        m_nextFetch = now;
        m_behindSince = now;
    }
}

void ConfigurationInstaller::recordHolder(const core::VmId &peer, core::ConfigurationVersion version,
                                          core::TimePoint now)
{
    if (m_holders.size() < maxHolders || m_holders.contains(peer)) {
        m_holders[peer] = version;
    }
    if (!m_behindSince) {
        m_behindSince = now;
    }
    if (!m_nextFetch && m_fetches.empty()) {
        m_nextFetch = now + jitter(m_settings.fetchJitter);
    }
}

void ConfigurationInstaller::startFetch(const core::VmId &peer, core::TimePoint now, InstallerActions &actions)
{
    m_fetches[peer] = now + m_settings.answerTimeout;
    actions.emplace_back(FetchFromPeer{peer, m_installed.version});
}

void ConfigurationInstaller::expireFetches(core::TimePoint now)
{
    const auto expired = std::erase_if(m_fetches, [&](const auto &fetch) { return fetch.second <= now; });
    if (expired > 0 && m_fetches.empty() && m_behindSince) {
        m_nextFetch = now + jitter(m_settings.fetchJitter);
    }
}

void ConfigurationInstaller::fetchIfDue(core::TimePoint now, InstallerActions &actions)
{
    if (!m_nextFetch || now < *m_nextFetch) {
        return;
    }
    m_nextFetch.reset();
    if (m_holders.empty()) {
        // No holder answered: the store may answer before their next messages arrive.
        m_nextStoreQuery = m_isStoreQueryPending || m_storeRetryDelay > core::Duration() ? m_nextStoreQuery : now;
        return;
    }
    const auto choice = static_cast<std::ptrdiff_t>(m_random.nextBelow(m_holders.size()));
    const auto holder = std::next(m_holders.begin(), choice);
    const auto peer = holder->first;
    // Tries each holder once; its next message makes it a candidate again.
    m_holders.erase(holder);
    startFetch(peer, now, actions);
}

bool ConfigurationInstaller::isWithoutContact(core::TimePoint now) const
{
    return now - m_lastContact > m_settings.staleAfter / queriesBeforeStale;
}

void ConfigurationInstaller::scheduleStoreRetry(core::TimePoint now)
{
    // A process in contact with peers learns of versions through them, so it may retry less often. One without contact
    // keeps retrying, also while it is stale.
    const auto maxDelay
        = isWithoutContact(now) ? m_settings.staleAfter / queriesBeforeStale : m_settings.storePollInterval;
    m_storeRetryDelay = std::clamp(2 * m_storeRetryDelay, m_settings.storeRetryDelay, maxDelay);
    m_nextStoreQuery = now + m_storeRetryDelay / 2 + jitter(m_storeRetryDelay / 2);
}

void ConfigurationInstaller::queryStoreIfDue(core::TimePoint now, InstallerActions &actions)
{
    if (m_isStoreQueryPending && now >= m_nextStoreQuery) {
        m_isStoreQueryPending = false;
        scheduleStoreRetry(now);
    }
    const bool isPollDueEarly = m_storeRetryDelay == core::Duration() && isWithoutContact(now);
    if (m_isStoreQueryPending || (now < m_nextStoreQuery && !isPollDueEarly)) {
        return;
    }
    m_isStoreQueryPending = true;
    m_nextStoreQuery = now + m_settings.answerTimeout;
    actions.emplace_back(QueryStore{});
}

void ConfigurationInstaller::watchIfDue(core::TimePoint now, InstallerActions &actions)
{
    if (!m_isWatching || now < m_nextWatch) {
        return;
    }
    m_watchCall = m_watchCall.next();
    m_nextWatch = now + m_settings.watchTimeout;
    actions.emplace_back(WatchStore{m_watchCall, m_watchRevision});
}

void ConfigurationInstaller::endStartupIfDone(core::TimePoint now)
{
    if (m_isStartupDone || m_installed.version == core::ConfigurationVersion(0)) {
        return;
    }
    const bool haveAllAnswered = m_hasQueriedPeers && m_fetches.empty() && m_holders.empty() && !m_isStoreQueryPending;
    m_isStartupDone = haveAllAnswered || now >= m_startupDeadline;
}

core::Duration ConfigurationInstaller::jitter(core::Duration limit)
{
    return core::Duration(m_random.nextBelow(static_cast<std::uint64_t>(limit.count())));
}

} // namespace lycheelanding::decisions::distribution

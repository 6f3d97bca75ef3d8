#include "lycheelanding/decisions/distribution/prefixfollower.h"

#include <algorithm>
#include <utility>

namespace lycheelanding::decisions::distribution {

PrefixFollower::PrefixFollower(const FollowerSettings &settings)
    : m_settings(settings), m_random(settings.seed), m_retryDelay(settings.minRetryDelay)
{ }

FollowerActions PrefixFollower::start(core::TimePoint now)
{
    FollowerActions actions;
    m_lastContact = now;
    startListing(now, actions);
    return actions;
}

FollowerActions PrefixFollower::pageRead(StoreCallNumber call, KeyPage page, core::TimePoint now)
{
    FollowerActions actions;
    if (m_phase != Phase::Reading || call != m_call) {
        return actions;
    }
    recordContact(now, actions);
    if (!std::exchange(m_hasFirstPage, true)) {
        // The watch reports what changes while further pages are read.
        m_revision = page.atRevision;
    }
    const std::string lastKey = page.keyValues.empty() ? std::string() : page.keyValues.back().key;
    for (auto &keyValue : page.keyValues) {
        std::string key = keyValue.key;
        m_listing.insert_or_assign(std::move(key), std::move(keyValue));
    }
    if (page.hasMore && !lastKey.empty()) {
        readPage(lastKey, now, actions);
        return actions;
    }
    finishListing(now, actions);
    return actions;
}

void PrefixFollower::finishListing(core::TimePoint now, FollowerActions &actions)
{
    KeysListed listed;
    listed.atRevision = m_revision;
    std::map<std::string, std::uint64_t> revisions;
    for (auto &[key, keyValue] : m_listing) {
        revisions.emplace(key, keyValue.revision);
        listed.keyValues.push_back(std::move(keyValue));
    }
    m_listing.clear();
    m_revisions = std::move(revisions);
    actions.emplace_back(std::move(listed));
    watch(now, actions);
}

FollowerActions PrefixFollower::watchEnded(StoreCallNumber call, const WatchEvents &events, core::TimePoint now)
{
    FollowerActions actions;
    if (m_phase != Phase::Watching || call != m_call) {
        return actions;
    }
    recordContact(now, actions);
    for (const auto &event : events.events) {
        if (const auto *written = std::get_if<KeyValue>(&event)) {
            auto &known = m_revisions[written->key];
            if (written->revision > known) {
                known = written->revision;
                actions.emplace_back(KeyWritten{*written});
            }
            continue;
        }
        const auto &removed = std::get<RemovedKey>(event);
        const auto known = m_revisions.find(removed.key);
        if (known != m_revisions.end() && removed.revision > known->second) {
            m_revisions.erase(known);
            actions.emplace_back(KeyRemoved{removed.key, removed.revision});
        }
    }
    m_revision = std::max(m_revision, events.atRevision);
    pauseBeforeWatch(now, actions);
    return actions;
}

FollowerActions PrefixFollower::callFailed(StoreCallNumber call, StoreCallFailure failure, core::TimePoint now)
{
    FollowerActions actions;
    const bool isWaiting = m_phase == Phase::Reading || m_phase == Phase::Watching;
    if (!isWaiting || call != m_call) {
        return actions;
    }
    if (failure == StoreCallFailure::Expired) {
        recordContact(now, actions);
        startListing(now, actions);
        return actions;
    }
    backOff(now, actions);
    return actions;
}

FollowerActions PrefixFollower::resumed(core::TimePoint now)
{
    FollowerActions actions;
    if (m_phase != Phase::Stopped) {
        cancelCall(actions);
        startListing(now, actions);
    }
    return actions;
}

FollowerActions PrefixFollower::eraChanged(core::TimePoint now)
{
    m_revisions.clear();
    return resumed(now);
}

FollowerActions PrefixFollower::tick(core::TimePoint now)
{
    FollowerActions actions;
    if (m_phase == Phase::Stopped || now < m_phaseEnd) {
        return actions;
    }
    if (m_phase == Phase::BackingOff) {
        startListing(now, actions);
        return actions;
    }
    if (m_phase == Phase::Pausing) {
        watch(now, actions);
        return actions;
    }
    cancelCall(actions);
    backOff(now, actions);
    return actions;
}

void PrefixFollower::cancelCall(FollowerActions &actions)
{
    if (m_phase == Phase::Reading || m_phase == Phase::Watching) {
        actions.emplace_back(CancelCall{m_call});
    }
}

void PrefixFollower::startListing(core::TimePoint now, FollowerActions &actions)
{
    m_listing.clear();
    m_hasFirstPage = false;
    readPage(std::string(), now, actions);
}

void PrefixFollower::readPage(std::string afterKey, core::TimePoint now, FollowerActions &actions)
{
    m_phase = Phase::Reading;
    m_pageStart = now;
    m_call = m_call.next();
    m_phaseEnd = now + m_settings.pageTimeout;
    actions.emplace_back(ReadPage{m_call, std::move(afterKey)});
}

void PrefixFollower::pauseBeforeWatch(core::TimePoint now, FollowerActions &actions)
{
    const auto next = m_watchStart + m_settings.minWatchInterval;
    if (now >= next) {
        watch(now, actions);
        return;
    }
    m_phase = Phase::Pausing;
    m_phaseEnd = next;
}

void PrefixFollower::watch(core::TimePoint now, FollowerActions &actions)
{
    m_watchStart = now;
    m_phase = Phase::Watching;
    m_call = m_call.next();
    m_phaseEnd = now + m_settings.watchDuration + m_settings.watchTimeoutMargin;
    actions.emplace_back(WatchPrefix{m_call, m_revision});
}

void PrefixFollower::backOff(core::TimePoint now, FollowerActions &actions)
{
    if (std::exchange(m_isInContact, false)) {
        m_earliestReturn = m_lastContact;
        actions.emplace_back(ContactLost{});
    }
    if (m_phase == Phase::Reading) {
        m_earliestReturn = m_pageStart;
    }
    m_phase = Phase::BackingOff;
    // Half of each delay is random, so that processes do not retry simultaneously after an outage.
    const auto half = m_retryDelay / 2;
    m_phaseEnd = now + half + std::chrono::duration_cast<core::Duration>(half * m_random.nextUnit());
    m_retryDelay = std::min(m_retryDelay * 2, m_settings.maxRetryDelay);
}

void PrefixFollower::recordContact(core::TimePoint now, FollowerActions &actions)
{
    m_retryDelay = m_settings.minRetryDelay;
    if (!std::exchange(m_isInContact, true)) {
        actions.emplace_back(ContactRegained{m_lastContact, m_earliestReturn});
    }
    m_lastContact = now;
}

} // namespace lycheelanding::decisions::distribution

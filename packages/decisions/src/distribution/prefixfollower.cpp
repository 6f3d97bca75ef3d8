#include "lycheelanding/decisions/distribution/prefixfollower.h"

#include <algorithm>
#include <utility>

namespace lycheelanding::decisions::distribution {

PrefixFollower::PrefixFollower(const FollowerSettings &settings)
    : m_settings(settings), m_random(settings.seed), m_pause(settings.shortestPause)
{ }

FollowerActions PrefixFollower::start(core::TimePoint now)
{
    FollowerActions actions;
    beginReading(now, actions);
    return actions;
}

FollowerActions PrefixFollower::pageRead(StoreCallNumber call, EntryPage page, core::TimePoint now)
{
    FollowerActions actions;
    if (m_phase != Phase::Reading || call != m_call) {
        return actions;
    }
    contact(actions);
    if (!std::exchange(m_hasFirstPage, true)) {
        // What changes while further pages are read is told by the watch.
        m_revision = page.atRevision;
    }
    const std::string lastKey = page.entries.empty() ? std::string() : page.entries.back().key;
    for (auto &entry : page.entries) {
        std::string key = entry.key;
        m_pages.insert_or_assign(std::move(key), std::move(entry));
    }
    if (page.hasMore && !lastKey.empty()) {
        readPage(lastKey, now, actions);
        return actions;
    }
    endReading(now, actions);
    return actions;
}

void PrefixFollower::endReading(core::TimePoint now, FollowerActions &actions)
{
    EntriesListed listed;
    std::map<std::string, std::uint64_t> revisions;
    for (auto &[key, entry] : m_pages) {
        revisions.emplace(key, entry.revision);
        listed.entries.push_back(std::move(entry));
    }
    m_pages.clear();
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
    contact(actions);
    for (const auto &event : events.events) {
        if (const auto *written = std::get_if<StoreEntry>(&event)) {
            auto &known = m_revisions[written->key];
            if (written->revision > known) {
                known = written->revision;
                actions.emplace_back(EntryWritten{*written});
            }
            continue;
        }
        const auto &removed = std::get<RemovedEntry>(event);
        const auto known = m_revisions.find(removed.key);
        if (known != m_revisions.end() && removed.revision > known->second) {
            m_revisions.erase(known);
            actions.emplace_back(EntryRemoved{removed.key});
        }
    }
    m_revision = std::max(m_revision, events.atRevision);
    watch(now, actions);
    return actions;
}

FollowerActions PrefixFollower::callFailed(StoreCallNumber call, StoreCallFailure failure, core::TimePoint now)
{
    FollowerActions actions;
    const bool isWaiting = m_phase == Phase::Reading || m_phase == Phase::Watching;
    if (!isWaiting || call != m_call) {
        return actions;
    }
    if (failure == StoreCallFailure::HistoryGone) {
        contact(actions);
        beginReading(now, actions);
        return actions;
    }
    pause(now, actions);
    return actions;
}

FollowerActions PrefixFollower::resumed(core::TimePoint now)
{
    FollowerActions actions;
    if (m_phase != Phase::Stopped) {
        abandonCall(actions);
        beginReading(now, actions);
    }
    return actions;
}

FollowerActions PrefixFollower::tick(core::TimePoint now)
{
    FollowerActions actions;
    if (m_phase == Phase::Stopped || now < m_callEnd) {
        return actions;
    }
    if (m_phase == Phase::Pausing) {
        beginReading(now, actions);
        return actions;
    }
    abandonCall(actions);
    pause(now, actions);
    return actions;
}

void PrefixFollower::abandonCall(FollowerActions &actions)
{
    if (m_phase == Phase::Reading || m_phase == Phase::Watching) {
        actions.emplace_back(AbandonCall{m_call});
    }
}

void PrefixFollower::beginReading(core::TimePoint now, FollowerActions &actions)
{
    m_pages.clear();
    m_hasFirstPage = false;
    readPage(std::string(), now, actions);
}

void PrefixFollower::readPage(std::string afterKey, core::TimePoint now, FollowerActions &actions)
{
    m_phase = Phase::Reading;
    m_call = m_call.next();
    m_callEnd = now + m_settings.pageTimeout;
    actions.emplace_back(ReadPage{m_call, std::move(afterKey)});
}

void PrefixFollower::watch(core::TimePoint now, FollowerActions &actions)
{
    m_phase = Phase::Watching;
    m_call = m_call.next();
    m_callEnd = now + m_settings.watchTime + m_settings.watchSlack;
    actions.emplace_back(WatchPrefix{m_call, m_revision});
}

void PrefixFollower::pause(core::TimePoint now, FollowerActions &actions)
{
    if (std::exchange(m_isInContact, false)) {
        actions.emplace_back(ContactLost{});
    }
    m_phase = Phase::Pausing;
    // Half of each pause is random, so that many processes do not return to the store at one moment.
    const auto half = m_pause / 2;
    m_callEnd = now + half + std::chrono::duration_cast<core::Duration>(half * m_random.nextUnit());
    m_pause = std::min(m_pause * 2, m_settings.longestPause);
}

void PrefixFollower::contact(FollowerActions &actions)
{
    m_pause = m_settings.shortestPause;
    if (!std::exchange(m_isInContact, true)) {
        actions.emplace_back(ContactRegained{});
    }
}

} // namespace lycheelanding::decisions::distribution

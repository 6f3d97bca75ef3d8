#include "lycheelanding/decisions/intake/backendintake.h"

#include "lycheelanding/core/stablehash.h"

#include <algorithm>
#include <chrono>

namespace lycheelanding::decisions::intake {

namespace {

constexpr std::chrono::seconds unreadableReportInterval{10};
/// More than the number of entries that run usually, as long as it is not known.
constexpr std::size_t assumedEntries = 8;

} // namespace

BackendIntake::BackendIntake(std::uint64_t seed) : m_random(seed), m_position{assumedEntries, seed % assumedEntries} { }

void BackendIntake::setPosition(const EntryPosition &position, core::TimePoint now)
{
    if (position == m_position) {
        return;
    }
    m_position = position;
    for (auto &[id, limit] : m_limits) {
        limit.share.setRate(sharedRate(id, limit.perSecond), now);
    }
}

SharedRate BackendIntake::sharedRate(const BackendId &id, double perSecond) const
{
    // Another entry is the first one at each backend server.
    const auto entries = std::max<std::size_t>(m_position.entries, 1);
    const auto offset = static_cast<std::size_t>(core::stableHash(id.text()) % entries);
    return {perSecond, {entries, (m_position.index + offset) % entries}};
}

LimitChange BackendIntake::limitStated(const BackendId &id, double perSecond, core::TimePoint now)
{
    const auto [found, isNew] = m_limits.try_emplace(id, Limit{perSecond, now, now, RateShare(m_random.next())});
    auto &limit = found->second;
    limit.lastStated = now;
    if (!isNew && limit.perSecond == perSecond) {
        return LimitChange::None;
    }
    limit.perSecond = perSecond;
    limit.share.setRate(sharedRate(id, perSecond), now);
    return LimitChange::Stated;
}

std::optional<EndedLimit> BackendIntake::noLimitStated(const BackendId &id, core::TimePoint sentAt, core::TimePoint now)
{
    const auto found = m_limits.find(id);
    if (found == m_limits.end() || sentAt < found->second.lastStated) {
        return std::nullopt;
    }
    const EndedLimit ended{now - found->second.since, found->second.sent};
    m_limits.erase(found);
    return ended;
}

bool BackendIntake::limitUnreadable(const BackendId &id, core::TimePoint now)
{
    const auto [found, isNew] = m_unreadableReports.try_emplace(id, now);
    if (!isNew && now - found->second < unreadableReportInterval) {
        return false;
    }
    found->second = now;
    return true;
}

bool BackendIntake::mayReceive(const BackendId &id, core::TimePoint now) const
{
    const auto found = m_limits.find(id);
    return found == m_limits.end() || found->second.share.allows(now);
}

void BackendIntake::recordSent(const BackendId &id, core::TimePoint now)
{
    const auto found = m_limits.find(id);
    if (found != m_limits.end()) {
        found->second.share.recordSent(now);
        ++found->second.sent;
    }
}

void BackendIntake::remove(const BackendId &id)
{
    m_limits.erase(id);
    m_unreadableReports.erase(id);
}

std::optional<double> BackendIntake::limitOf(const BackendId &id) const
{
    const auto found = m_limits.find(id);
    return found == m_limits.end() ? std::nullopt : std::optional(found->second.perSecond);
}

} // namespace lycheelanding::decisions::intake

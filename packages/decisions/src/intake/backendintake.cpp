#include "lycheelanding/decisions/intake/backendintake.h"

#include "lycheelanding/core/stablehash.h"

#include <algorithm>
#include <chrono>
#include <set>

namespace lycheelanding::decisions::intake {

namespace {

constexpr std::chrono::seconds unreadableReportInterval{10};
/// More than the number of entries that run usually, as long as it is not known.
constexpr std::size_t assumedEntries = 8;
/// How long an entry without turns relies on the others to report the end of a limit, and the interval at which these
/// entries find out for themselves, one after the other.
constexpr std::chrono::seconds minProbeDelay{30};
constexpr std::chrono::seconds probeInterval{4};
/// Many sides report the same sums.
constexpr std::chrono::milliseconds updateInterval{250};

} // namespace

BackendIntake::BackendIntake(std::uint64_t seed) : m_random(seed), m_position{assumedEntries, seed % assumedEntries} { }

void BackendIntake::setPosition(const EntryPosition &position, core::TimePoint now)
{
    if (position == m_position) {
        return;
    }
    m_position = position;
    updateShares(now);
}

std::vector<ServiceDemand> BackendIntake::demandReports(core::TimePoint now)
{
    std::set<core::ServiceId> services;
    for (const auto &[id, limit] : m_limits) {
        services.insert(limit.service);
    }
    std::vector<ServiceDemand> demands;
    demands.reserve(services.size());
    for (const auto &service : services) {
        demands.push_back(m_demand.report(service, now));
    }
    return demands;
}

void BackendIntake::demandReported(const std::vector<TotalDemand> &totals, core::TimePoint now)
{
    for (const auto &total : totals) {
        m_demand.totalReported(total, now);
    }
    if (!totals.empty() && now >= m_nextUpdate) {
        m_nextUpdate = now + updateInterval;
        updateShares(now);
    }
}

void BackendIntake::updateShares(core::TimePoint now)
{
    for (auto &[id, limit] : m_limits) {
        limit.share.setRate(sharedRate(id, limit, now), now);
    }
}

core::Duration BackendIntake::probeDelay(const BackendId &id) const
{
    return minProbeDelay + probeInterval * static_cast<std::int64_t>(positionAt(id).index);
}

EntryPosition BackendIntake::positionAt(const BackendId &id) const
{
    const auto entries = std::max<std::size_t>(m_position.entries, 1);
    const auto offset = static_cast<std::size_t>(core::stableHash(id.text()) % entries);
    return {entries, (m_position.index + offset) % entries};
}

SharedRate BackendIntake::sharedRate(const BackendId &id, const Limit &limit, core::TimePoint now) const
{
    const auto position = positionAt(id);
    return {limit.perSecond, position, m_demand.fraction(limit.service, position.entries, now)};
}

LimitChange BackendIntake::limitStated(const StatedLimit &stated, core::TimePoint now)
{
    const auto [found, isNew] = m_limits.try_emplace(
        stated.backend, Limit{stated.service, stated.perSecond, now, stated.at, RateShare(m_random.next())});
    auto &limit = found->second;
    if (!isNew && stated.at < limit.lastStated) {
        return LimitChange::None;
    }
    limit.lastStated = stated.at;
    limit.nextProbe = now + probeDelay(stated.backend);
    if (!isNew && limit.perSecond == stated.perSecond) {
        return LimitChange::None;
    }
    limit.perSecond = stated.perSecond;
    limit.share.setRate(sharedRate(stated.backend, limit, now), now);
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

bool BackendIntake::unreadable(const BackendId &id, core::TimePoint now)
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
    if (found == m_limits.end()) {
        return true;
    }
    const auto &limit = found->second;
    return limit.share.hasTurns() ? limit.share.allows(now) : now >= limit.nextProbe;
}

std::optional<std::size_t> BackendIntake::allowedUntil(const BackendId &id, core::TimePoint until,
                                                       core::TimePoint now) const
{
    const auto found = m_limits.find(id);
    if (found == m_limits.end()) {
        return std::nullopt;
    }
    const auto &limit = found->second;
    const std::size_t probes = limit.nextProbe <= until ? 1 : 0;
    return limit.share.hasTurns() ? limit.share.turnsUntil(until, now) : probes;
}

double BackendIntake::shareOf(const BackendId &id) const
{
    const auto found = m_limits.find(id);
    const auto interval = found != m_limits.end() ? found->second.share.interval() : core::Duration::zero();
    return interval > core::Duration::zero() ? 1.0 / std::chrono::duration<double>(interval).count() : 0.0;
}

void BackendIntake::recordSent(const BackendId &id, core::TimePoint now)
{
    const auto found = m_limits.find(id);
    if (found != m_limits.end()) {
        found->second.share.recordSent(now);
        found->second.nextProbe = now + probeDelay(id);
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

#include "lycheelanding/decisions/intake/backendintake.h"

#include "lycheelanding/core/stablehash.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace lycheelanding::decisions::intake {

namespace {

constexpr std::chrono::seconds unreadableReportInterval{10};
/// More than the number of entries that run usually, as long as it is not known.
constexpr std::size_t assumedEntries = 8;
/// The same for cold backend servers, whose bound leaves no room for more entries than assumed: the largest deployments
/// have 22.
constexpr std::size_t assumedEntriesAtCold = 24;
/// Requests of this time may arrive later than the next ones, as they wait for a connection or are on their way.
constexpr double inFlightSeconds = 0.1;
/// The bound of cold backend servers counts the requests of one second, and of the time above.
constexpr std::chrono::milliseconds coldCountedTime{1100};
/// The bound may leave less than one request in reserve; the rate is lowered by what is missing, but not to zero.
constexpr double minColdRate = 0.1;
/// How long an entry without turns relies on the others to report the end of a limit, and the interval at which these
/// entries find out for themselves, one after the other.
constexpr std::chrono::seconds minProbeDelay{30};
constexpr std::chrono::seconds probeInterval{4};
/// Many sides report the same sums.
constexpr std::chrono::milliseconds updateInterval{250};

} // namespace

BackendIntake::BackendIntake(std::uint64_t seed)
    : m_random(seed), m_position{assumedEntries, seed % assumedEntries}, m_unknownPosition(seed)
{ }

void BackendIntake::setPosition(const EntryPosition &position, core::TimePoint now)
{
    const bool wasKnown = std::exchange(m_isPositionKnown, true);
    if (position == m_position && wasKnown) {
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
    for (const auto &[id, cold] : m_coldLimits) {
        services.insert(cold.service);
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
    std::erase_if(m_coldLimits, [now](const auto &item) { return now >= item.second.until; });
    for (auto &[id, cold] : m_coldLimits) {
        cold.share.setRate(sharedRate(id, cold, now), now);
    }
}

core::Duration BackendIntake::probeDelay(const BackendId &id) const
{
    return minProbeDelay + probeInterval * static_cast<std::int64_t>(positionAt(id).index);
}

EntryPosition BackendIntake::rotated(const EntryPosition &position, const BackendId &id)
{
    const auto entries = std::max<std::size_t>(position.entries, 1);
    const auto offset = static_cast<std::size_t>(core::stableHash(id.text()) % entries);
    return {entries, (position.index + offset) % entries};
}

EntryPosition BackendIntake::positionAt(const BackendId &id) const
{
    return rotated(m_position, id);
}

SharedRate BackendIntake::sharedRate(const BackendId &id, const SharedLimit &limit, core::TimePoint now) const
{
    const auto position = positionAt(id);
    return {limit.perSecond, position, m_demand.fraction(limit.service, position.entries, now)};
}

SharedRate BackendIntake::sharedRate(const BackendId &id, const Cold &cold, core::TimePoint now) const
{
    auto shared = sharedRate(id, static_cast<const SharedLimit &>(cold), now);
    if (!m_isPositionKnown) {
        shared.position
            = rotated({assumedEntriesAtCold, static_cast<std::size_t>(m_unknownPosition % assumedEntriesAtCold)}, id);
        shared.fraction = 1.0 / static_cast<double>(assumedEntriesAtCold);
    }
    const double bound = cold.rate.perSecond * cold.rate.overage + cold.rate.slack;
    const double largest = (bound - 1.0) / (1.0 + inFlightSeconds);
    shared.perSecond = std::max(std::min(cold.rate.perSecond, largest), minColdRate);
    const double inReserve = bound - shared.perSecond * (1.0 + inFlightSeconds);
    // Each entry may have one turn in reserve; what is left after these is divided like the rate.
    const double spare = std::max(inReserve - static_cast<double>(shared.position.entries), 0.0);
    const std::chrono::duration<double> time(std::min(spare / shared.perSecond, 1.0));
    shared.reserve = {std::chrono::duration_cast<core::Duration>(time), 0.0, inReserve, coldCountedTime};
    return shared;
}

void BackendIntake::setCold(const ColdLimit &cold, core::TimePoint now)
{
    const auto found
        = m_coldLimits.try_emplace(cold.backend, Cold{{cold.service, 0.0, RateShare(m_random.next())}, {}, {}}).first;
    auto &limit = found->second;
    limit.service = cold.service;
    limit.perSecond = cold.rate.perSecond;
    limit.rate = cold.rate;
    limit.until = cold.until;
    limit.share.setRate(sharedRate(cold.backend, limit, now), now);
}

const BackendIntake::Cold *BackendIntake::coldLimitOf(const BackendId &id, core::TimePoint now) const
{
    const auto found = m_coldLimits.find(id);
    return found != m_coldLimits.end() && now < found->second.until ? &found->second : nullptr;
}

bool BackendIntake::isCold(const BackendId &id, core::TimePoint now) const
{
    return coldLimitOf(id, now) != nullptr;
}

LimitChange BackendIntake::limitStated(const StatedLimit &stated, core::TimePoint now)
{
    const auto [found, isNew] = m_limits.try_emplace(
        stated.backend, Limit{{stated.service, stated.perSecond, RateShare(m_random.next())}, now, stated.at});
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
    if (const auto *cold = coldLimitOf(id, now); cold != nullptr && !cold->share.allows(now)) {
        return false;
    }
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
    const auto stated = statedAllowedUntil(id, until, now);
    const auto *cold = coldLimitOf(id, now);
    if (cold == nullptr || cold->until <= until) {
        return stated;
    }
    const auto atCold = cold->share.turnsUntil(until, now);
    return std::min(stated.value_or(atCold), atCold);
}

std::optional<std::size_t> BackendIntake::statedAllowedUntil(const BackendId &id, core::TimePoint until,
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
    const auto shareIn = [&id](const auto &limits) -> std::optional<double> {
        const auto found = limits.find(id);
        if (found == limits.end()) {
            return std::nullopt;
        }
        const auto interval = found->second.share.interval();
        return interval > core::Duration::zero() ? 1.0 / std::chrono::duration<double>(interval).count() : 0.0;
    };
    const auto stated = shareIn(m_limits);
    const auto cold = shareIn(m_coldLimits);
    return stated && cold ? std::min(*stated, *cold) : stated.value_or(cold.value_or(0.0));
}

void BackendIntake::recordSent(const BackendId &id, core::TimePoint now)
{
    const auto found = m_limits.find(id);
    if (found != m_limits.end()) {
        found->second.share.recordSent(now);
        found->second.nextProbe = now + probeDelay(id);
        ++found->second.sent;
    }
    if (const auto cold = m_coldLimits.find(id); cold != m_coldLimits.end()) {
        cold->second.share.recordSent(now);
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

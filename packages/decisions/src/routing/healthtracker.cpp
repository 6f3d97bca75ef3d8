#include "lycheelanding/decisions/routing/healthtracker.h"

#include <algorithm>
#include <cmath>

namespace lycheelanding::decisions::routing {

namespace {

// Fraction of its normal load with which a reinstated backend server starts.
constexpr double initialLoadFraction = 0.1;
// Limits the exponential growth of the ejection time.
constexpr std::uint32_t maxDoublings = 5;
// A backend server counts as stalled after this multiple of its mean delay without progress.
constexpr double stallDelayMultiple = 4.0;
constexpr double delaySampleWeight = 0.1;
// The return of entries that were turned away is spread over this part of the time, up to a limit.
constexpr int returnSpreadDivisor = 5;
constexpr core::Duration maxReturnSpread = std::chrono::seconds(1);

} // namespace

bool HealthTracker::isBeingTested(const Server &server)
{
    return server.state == ServerState::Probing || server.state == ServerState::Returning;
}

HealthTracker::HealthTracker(HealthSettings settings, std::uint64_t seed) : m_settings(settings), m_random(seed) { }

void HealthTracker::setServers(const std::vector<core::VmId> &vms)
{
    std::map<core::VmId, Server> servers;
    for (const auto &vm : vms) {
        const auto known = m_servers.find(vm);
        servers[vm] = known == m_servers.end() ? Server() : known->second;
    }
    m_servers = std::move(servers);
}

void HealthTracker::requestSent(const core::VmId &vm, bool isProbe, core::TimePoint now)
{
    const auto found = m_servers.find(vm);
    if (found == m_servers.end()) {
        return;
    }
    Server &server = found->second;
    if (server.inFlight == 0) {
        server.lastProgress = now;
    }
    ++server.inFlight;
    if (isProbe && server.state == ServerState::Ejected) {
        server.state = ServerState::Probing;
    } else if (isProbe && server.state == ServerState::TurnedAway) {
        server.state = ServerState::Returning;
    }
}

void HealthTracker::progressed(const core::VmId &vm, core::TimePoint now)
{
    const auto found = m_servers.find(vm);
    if (found == m_servers.end()) {
        return;
    }
    Server &server = found->second;
    // A server that resumes after a stall also gets a slow start, since it must first work off its queue.
    if (isInService(server) && isStalled(server, now) && mayEject(server, now)) {
        reinstate(server, now);
    }
    server.lastProgress = now;
}

void HealthTracker::responded(const core::VmId &vm, core::Duration delay)
{
    const auto found = m_servers.find(vm);
    if (found == m_servers.end()) {
        return;
    }
    const double seconds = std::chrono::duration<double>(delay).count();
    double &mean = found->second.meanDelaySeconds;
    mean += (mean == 0.0 ? 1.0 : delaySampleWeight) * (seconds - mean);
}

void HealthTracker::succeeded(const core::VmId &vm, core::TimePoint now)
{
    const auto found = m_servers.find(vm);
    if (found == m_servers.end()) {
        return;
    }
    Server &server = found->second;
    const bool wasProbing = isBeingTested(server);
    progressed(vm, now);
    released(vm, now);
    server.consecutiveFailures = 0;
    server.failureRate *= 1.0 - m_settings.outcomeWeight;
    // Only the answer to a probe ends an ejection, not the late answers to requests sent before it.
    if (wasProbing) {
        reinstate(server, now);
    }
    const bool isStable
        = server.state == ServerState::SlowStart && now - server.reinstatedAt > m_settings.ejectionResetAfter;
    if (isStable) {
        server.ejections = 0;
        server.state = ServerState::InService;
    }
}

void HealthTracker::failed(const core::VmId &vm, core::TimePoint now)
{
    const auto found = m_servers.find(vm);
    if (found == m_servers.end()) {
        return;
    }
    Server &server = found->second;
    const bool wasProbing = isBeingTested(server);
    released(vm, now);
    ++server.consecutiveFailures;
    server.failureRate += m_settings.outcomeWeight * (1.0 - server.failureRate);
    if (wasProbing) {
        eject(server, now);
    }
    if (!isInService(server)) {
        return;
    }
    const bool fails = server.consecutiveFailures >= m_settings.consecutiveFailureThreshold
        || server.failureRate >= m_settings.failureRateThreshold;
    if (fails && mayEject(server, now)) {
        eject(server, now);
    }
}

bool HealthTracker::turnedAway(const core::VmId &vm, core::TimePoint until, core::TimePoint now)
{
    const auto found = m_servers.find(vm);
    if (found == m_servers.end() || found->second.state == ServerState::Leaving || until <= now) {
        return false;
    }
    Server &server = found->second;
    // The entries do not come back at the same moment.
    const core::Duration spread = std::min<core::Duration>((until - now) / returnSpreadDivisor, maxReturnSpread);
    const auto returnAt = until + std::chrono::duration_cast<core::Duration>(spread * m_random.nextUnit());
    const bool wasTurnedAway = server.state == ServerState::TurnedAway && server.probeAt > now;
    // Answers to requests that were sent before say the same again.
    if (!wasTurnedAway || server.probeAt < until) {
        server.probeAt = returnAt;
    }
    server.state = ServerState::TurnedAway;
    return !wasTurnedAway;
}

std::optional<core::TimePoint> HealthTracker::returnAt(const core::VmId &vm, core::TimePoint now) const
{
    const auto found = m_servers.find(vm);
    const bool isTurnedAway = found != m_servers.end() && found->second.state == ServerState::TurnedAway;
    return isTurnedAway && now < found->second.probeAt ? std::optional(found->second.probeAt) : std::nullopt;
}

void HealthTracker::leaves(const core::VmId &vm)
{
    const auto found = m_servers.find(vm);
    if (found != m_servers.end()) {
        found->second.state = ServerState::Leaving;
    }
}

void HealthTracker::released(const core::VmId &vm, core::TimePoint now)
{
    const auto found = m_servers.find(vm);
    if (found == m_servers.end()) {
        return;
    }
    Server &server = found->second;
    server.inFlight -= std::min(server.inFlight, 1U);
    if (server.inFlight == 0 && isInService(server) && now - server.lastProgress > stallTimeout(server)
        && mayEject(server, now)) {
        // The last request in flight at a stalled backend server ended without an answer. No request is left that could
        // show a recovery, so the server is ejected and then probed.
        eject(server, now);
        return;
    }
    if (server.inFlight == 0 && server.state == ServerState::Probing) {
        server.state = ServerState::Ejected;
    } else if (server.state == ServerState::Returning) {
        server.state = ServerState::TurnedAway;
    }
}

Availability HealthTracker::availability(const core::VmId &vm, core::TimePoint now) const
{
    const auto found = m_servers.find(vm);
    if (found == m_servers.end()) {
        return Availability::Ejected;
    }
    const Server &server = found->second;
    switch (server.state) {
    case ServerState::InService:
    case ServerState::SlowStart:
        break;
    case ServerState::Ejected:
        return now >= server.probeAt ? Availability::Probe : Availability::Ejected;
    case ServerState::Probing:
        return Availability::Ejected;
    case ServerState::TurnedAway:
        return now >= server.probeAt ? Availability::Return : Availability::TurnedAway;
    case ServerState::Returning:
        return Availability::TurnedAway;
    case ServerState::Leaving:
        return Availability::Leaving;
    }
    return isStalled(server, now) && mayEject(server, now) ? Availability::Ejected : Availability::Available;
}

double HealthTracker::loadFraction(const core::VmId &vm, core::TimePoint now) const
{
    const auto found = m_servers.find(vm);
    if (found == m_servers.end() || found->second.state != ServerState::SlowStart) {
        return 1.0;
    }
    const double passed = std::chrono::duration<double>(now - found->second.reinstatedAt).count();
    const double window = std::chrono::duration<double>(m_settings.slowStartWindow).count();
    return std::clamp(passed / window, initialLoadFraction, 1.0);
}

core::TimePoint HealthTracker::nextProbeAt(core::TimePoint now) const
{
    core::TimePoint earliest = now + m_settings.maxEjectionTime;
    for (const auto &[vm, server] : m_servers) {
        if (server.state == ServerState::Ejected || server.state == ServerState::TurnedAway) {
            earliest = std::min(earliest, std::max(now, server.probeAt));
        }
    }
    return earliest;
}

bool HealthTracker::isStalled(const Server &server, core::TimePoint now) const
{
    return server.inFlight > 0 && now - server.lastProgress > stallTimeout(server);
}

core::Duration HealthTracker::stallTimeout(const Server &server) const
{
    if (server.meanDelaySeconds == 0.0) {
        return m_settings.initialStallTimeout;
    }
    const std::chrono::duration<double> multipleOfMean(stallDelayMultiple * server.meanDelaySeconds);
    return std::max(m_settings.stallTimeout, std::chrono::duration_cast<core::Duration>(multipleOfMean));
}

bool HealthTracker::mayEject(const Server &server, core::TimePoint now) const
{
    std::size_t unavailable = 1;
    for (const auto &[vm, other] : m_servers) {
        const bool isUnavailable
            = (!isInService(other) && other.state != ServerState::Leaving) || isStalled(other, now);
        unavailable += &other != &server && isUnavailable ? 1 : 0;
    }
    // If most backend servers seem to fail, the cause is elsewhere, and ejection would overload the few that remain.
    return static_cast<double>(unavailable) <= m_settings.maxEjectedFraction * static_cast<double>(m_servers.size());
}

void HealthTracker::eject(Server &server, core::TimePoint now)
{
    server.state = ServerState::Ejected;
    server.probeAt = now + ejectionTime(server.ejections);
    ++server.ejections;
}

void HealthTracker::reinstate(Server &server, core::TimePoint now)
{
    server.state = ServerState::SlowStart;
    server.consecutiveFailures = 0;
    server.failureRate = 0.0;
    server.reinstatedAt = now;
}

core::Duration HealthTracker::ejectionTime(std::uint32_t earlierEjections)
{
    const auto doubled = m_settings.baseEjectionTime * (1U << std::min(earlierEjections, maxDoublings));
    const auto bounded = std::min<core::Duration>(doubled, m_settings.maxEjectionTime);
    // Jitter prevents the entries from probing a backend server all at the same time.
    const double factor = 0.75 + 0.5 * m_random.nextUnit();
    return std::chrono::duration_cast<core::Duration>(bounded * factor);
}

} // namespace lycheelanding::decisions::routing

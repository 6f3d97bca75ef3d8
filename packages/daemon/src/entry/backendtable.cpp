#include "entry/backendtable.h"

#include "logging/statelog.h"

#include <algorithm>

namespace lycheelanding::daemon::entry {

namespace {

/// Retry-After of requests that are refused because all suitable backend servers are saturated: by then one of them is
/// likely to have capacity again.
constexpr std::chrono::milliseconds saturatedRetryAfter(250);

using decisions::routing::BackendCandidate;
using decisions::routing::ModelVersion;

} // namespace

BackendTable::BackendTable(std::uint64_t seed)
    : m_membership(decisions::membership::MembershipSettings()),
      m_selector(decisions::routing::SelectorSettings(), seed), m_limits(decisions::admission::LimiterSettings())
{ }

void BackendTable::setConfiguration(const configuration::Document &document)
{
    const std::scoped_lock lock(m_mutex);
    m_document = document;
    m_configured = configuredCandidates();
    configureLimits();
    decisions::membership::MembershipSettings membership;
    membership.suspectAfter = std::chrono::milliseconds(document.membership.heartbeatTimeoutMs);
    m_membership.configure(membership);
    m_areCandidatesStale = true;
    updateCandidates(m_clock.now());
}

void BackendTable::setVms(const std::vector<services::VmRow> &rows)
{
    const std::scoped_lock lock(m_mutex);
    std::vector<decisions::membership::ListedVm> listed;
    for (const auto &row : rows) {
        if (row.role != services::VmRole::Backend) {
            continue;
        }
        m_members[row.vm].dataCentre = row.dataCentre;
        const bool isLeaving = row.state == services::VmState::Leaving;
        listed.push_back(
            {row.vm, isLeaving ? decisions::membership::VmState::Leaving : decisions::membership::VmState::Live});
    }
    logRoutabilityChanges(m_membership.vmsListed(listed, m_clock.now()));
    updateCandidates(m_clock.now());
}

void BackendTable::configureLimits()
{
    decisions::admission::LimiterSettings settings;
    // The configured initial concurrency of a backend server is divided among the live entries.
    settings.initialLimit
        = std::max(settings.minLimit,
                   static_cast<double>(m_document.limits.initialConcurrency) / static_cast<double>(m_liveEntries));
    settings.maxLimit = m_document.limits.maxConcurrency;
    m_limits.configure(settings);
}

void BackendTable::setLiveEntries(std::size_t entries)
{
    const std::scoped_lock lock(m_mutex);
    m_selector.setLiveEntries(entries);
    m_liveEntries = std::max<std::size_t>(entries, 1);
    configureLimits();
}

void BackendTable::heartbeat(const core::VmId &vm, core::Incarnation incarnation, const wire::Heartbeat &heartbeat)
{
    const std::scoped_lock lock(m_mutex);
    const auto now = m_clock.now();
    auto &member = m_members[vm];
    member.state = heartbeat.state;
    member.incarnation = incarnation;
    const bool isServing = heartbeat.state == wire::ServingState::Serving;
    const auto previousIncarnation = m_membership.incarnationOf(vm);
    logRoutabilityChanges(isServing ? m_membership.heartbeat(vm, incarnation, now)
                                    : m_membership.leaving(vm, incarnation, now));
    if (m_membership.incarnationOf(vm) != previousIncarnation) {
        resetVm(vm, now);
    }
    member.isBackendReachable = heartbeat.isBackendReachable;
    member.lastHeartbeat = now;
    member.queued = heartbeat.queued;
    member.outstandingTokens = heartbeat.outstandingTokens;
    decisions::routing::LoadReport report;
    report.measuredAt = now - std::chrono::milliseconds(heartbeat.loadAgeMs);
    for (const auto &rank : heartbeat.ranks) {
        report.ranks.push_back({rank.rank, rank.outstandingTokens, 0});
    }
    if (!report.ranks.empty()) {
        m_selector.reportLoad(vm, report);
    }
    updateCandidates(now);
}

void BackendTable::linkLost(const core::VmId &vm)
{
    const std::scoped_lock lock(m_mutex);
    auto &member = m_members[vm];
    member.state = wire::ServingState::Stopped;
    logRoutabilityChanges(m_membership.disconnected(vm, member.incarnation, m_clock.now()));
    updateCandidates(m_clock.now());
}

void BackendTable::tick()
{
    const std::scoped_lock lock(m_mutex);
    logRoutabilityChanges(m_membership.tick(m_clock.now()));
    updateCandidates(m_clock.now());
}

void BackendTable::logRoutabilityChanges(const decisions::membership::MembershipActions &actions) const
{
    for (const auto &action : actions) {
        if (const auto *routable = std::get_if<decisions::membership::BecameRoutable>(&action)) {
            logging::logChange(logging::Level::Info, "backend server routable", {{"backend", routable->vm.text()}});
        } else if (const auto *lost = std::get_if<decisions::membership::BecameUnroutable>(&action)) {
            logging::logChange(
                logging::Level::Info, "backend server not routable",
                {{"backend", lost->vm.text()}, {"reason", std::string(decisions::membership::nameOf(lost->reason))}});
        }
    }
}

std::vector<BackendCandidate> BackendTable::configuredCandidates() const
{
    std::map<core::VmId, BackendCandidate> byVm;
    for (const auto &group : m_document.groups) {
        for (const auto &rankLocation : group.ranks) {
            auto &candidate = byVm[rankLocation.vm];
            candidate.model = group.model;
            candidate.versions = {ModelVersion(group.modelVersion)};
            candidate.group = group.id;
            candidate.ranks.push_back(rankLocation.rank);
        }
    }
    for (const auto &service : m_document.services) {
        for (const auto &vm : service.vms) {
            byVm[vm].service = service.id;
        }
    }
    std::vector<BackendCandidate> candidates;
    for (auto &[vm, candidate] : byVm) {
        candidate.vm = vm;
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

void BackendTable::resetVm(const core::VmId &vm, core::TimePoint now)
{
    // The results of these attempts must not affect the statistics of the next incarnation.
    for (const auto attempt : m_members[vm].attempts) {
        m_selector.requestEnded(attempt, decisions::routing::Outcome::Cancelled, now);
    }
    m_members[vm].attempts.clear();
    m_selector.remove(vm);
    m_areCandidatesStale = true;
}

void BackendTable::updateCandidates(core::TimePoint now)
{
    std::vector<BackendCandidate> routable;
    std::vector<core::VmId> vms;
    for (const auto &configured : m_configured) {
        const auto found = m_members.find(configured.vm);
        if (found == m_members.end() || !found->second.isBackendReachable
            || !m_membership.isRoutable(configured.vm, now)) {
            continue;
        }
        auto candidate = configured;
        candidate.dataCentre = found->second.dataCentre;
        vms.push_back(candidate.vm);
        routable.push_back(std::move(candidate));
    }
    if (vms != m_routable || m_areCandidatesStale) {
        m_areCandidatesStale = false;
        m_routable = vms;
        m_limits.setServers(vms);
        m_selector.setCandidates(std::move(routable));
    }
}

core::Result<decisions::routing::Choice> BackendTable::chooseBackend(const decisions::routing::RouteRequest &request,
                                                                     decisions::routing::AttemptId attempt)
{
    const std::scoped_lock lock(m_mutex);
    const auto now = m_clock.now();
    auto route = request;
    const auto saturated = m_limits.saturated();
    route.excluded.insert(route.excluded.end(), saturated.begin(), saturated.end());
    auto choice = m_selector.choose(route, now);
    if (!core::isOk(choice) && !saturated.empty() && core::isOk(m_selector.choose(request, now))) {
        return core::Error{core::ErrorKind::Overloaded, "all backend servers of this kind are at their limit",
                           saturatedRetryAfter};
    }
    if (core::isOk(choice)) {
        m_selector.requestSent(attempt, core::valueOf(choice), request.expectedTokens, now);
        m_limits.requestSent(core::valueOf(choice).vm);
        m_members[core::valueOf(choice).vm].attempts.insert(attempt);
        return choice;
    }
    // The selector knows only the routable backend servers.
    if (core::errorOf(choice).kind == core::ErrorKind::UnknownModel && isConfigured(request)) {
        return core::Error{core::ErrorKind::NoBackendServer, "no backend server of this kind is routable"};
    }
    return choice;
}

bool BackendTable::isConfigured(const decisions::routing::RouteRequest &request) const
{
    return std::any_of(m_configured.begin(), m_configured.end(), [&request](const auto &candidate) {
        return decisions::routing::BackendSelector::serves(candidate, request);
    });
}

void BackendTable::firstToken(decisions::routing::AttemptId attempt, const core::VmId &vm, std::uint64_t promptTokens,
                              core::Duration latency)
{
    const std::scoped_lock lock(m_mutex);
    const auto now = m_clock.now();
    m_selector.firstToken(attempt, promptTokens, now);
    m_limits.firstToken(vm, latency, now);
}

void BackendTable::tokenProgress(decisions::routing::AttemptId attempt)
{
    const std::scoped_lock lock(m_mutex);
    m_selector.tokenProgress(attempt, 1, m_clock.now());
}

void BackendTable::requestEnded(decisions::routing::AttemptId attempt, const core::VmId &vm,
                                decisions::routing::Outcome outcome)
{
    using decisions::routing::Outcome;
    const std::scoped_lock lock(m_mutex);
    const auto now = m_clock.now();
    m_members[vm].attempts.erase(attempt);
    m_selector.requestEnded(attempt, outcome, now);
    m_limits.requestEnded(vm, outcome == Outcome::Refused || outcome == Outcome::TimedOut, now);
}

std::size_t BackendTable::capacity() const
{
    const std::scoped_lock lock(m_mutex);
    const auto now = m_clock.now();
    std::size_t capacity = 0;
    for (const auto &vm : m_routable) {
        capacity += m_selector.isAvailable(vm, now) ? m_limits.limit(vm) : 0;
    }
    // With a capacity of 0 no request would be admitted, so none could probe an ejected backend server.
    return capacity == 0 && !m_routable.empty() ? 1 : capacity;
}

std::vector<BackendStatus> BackendTable::statuses() const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<BackendStatus> statuses;
    for (const auto &[vm, member] : m_members) {
        const bool isRoutable = std::find(m_routable.begin(), m_routable.end(), vm) != m_routable.end();
        BackendStatus status;
        status.vm = vm;
        status.dataCentre = member.dataCentre;
        status.state = std::string(wire::nameOf(member.state));
        status.isRoutable = isRoutable;
        status.inFlight = m_selector.inFlightRequests(vm);
        status.limit = m_limits.limit(vm);
        status.queued = member.queued;
        status.outstandingTokens = member.outstandingTokens;
        status.lastSeenMs
            = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - member.lastHeartbeat).count();
        statuses.push_back(std::move(status));
    }
    return statuses;
}

} // namespace lycheelanding::daemon::entry

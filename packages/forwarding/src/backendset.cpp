#include "lycheelanding/forwarding/backendset.h"

#include "lycheelanding/core/stablehash.h"
#include "lycheelanding/forwarding/percent.h"
#include "lycheelanding/forwarding/refusal.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

namespace lycheelanding::forwarding {

namespace {

using decisions::membership::BackendUnusable;
using decisions::membership::BackendUsable;

/// A status update that is older says nothing about the group any more; updates arrive ten times a second.
constexpr std::chrono::milliseconds rankStatusTimeout{1000};
/// Time without a status update after which the VM of a backend server counts as unresponsive: five updates are
/// missing.
constexpr std::chrono::milliseconds unresponsiveTimeout{500};
/// How long a new backend server of a rank group gets no requests while no status update has arrived. The wait is
/// limited, as its side may be down.
constexpr std::chrono::milliseconds firstStatusTimeout{1500};
/// Requests that may be queued at an engine beyond those that run: enough to fill a free slot immediately.
constexpr double maxQueuedAtEngine = 3.0;
/// Fraction of an engine's slots that is used while the pass duration is unknown: up to it passes stay short enough for
/// the target of streams, also when the load of the experts is uneven.
constexpr double unsaturatedFraction = 0.75;
/// Fraction of an engine's slots that is used whatever its pass duration: without requests it cannot be measured.
constexpr double minCapacityFraction = 0.5;
/// Maximum pass duration in percent of the maximum event interval: the rest covers requests that other entries send at
/// the same time, prefill, and the transmission of the event.
constexpr int maxPassPercent = 92;
/// A rank may run this many times the mean of its group: the passes of a group depend on the sum over its ranks, and
/// the loads of ranks are only known approximately.
constexpr double maxRankOverGroupMean = 1.4;
/// Requests that one entry may have in progress at a backend server of unknown load: this many times an even share of
/// the slots, as demand is uneven, and a minimum.
constexpr double ownShareOfSlots = 2.0;
constexpr double minOwnCapacity = 2.0;
/// Backoff after a backend server has refused a request: about the time in which it finishes one.
constexpr std::chrono::milliseconds refusalBackoff{150};
/// Tokens that a running request has left on average: half of a typical answer.
constexpr std::uint64_t expectedRemainingTokens = 80;

/// How long the limit of a backend server without a registration is remembered.
constexpr std::chrono::minutes absentTimeToLive{2};

/// Percentage of its waiting time in which a request must get a turn of the limits that backend servers state: the
/// entries' shares of a limit change with their demand.
constexpr int maxWaitForLimitPercent = 50;

/// A group is active if it has had an event in this last part of the time, in percent, for which one of its streams has
/// been inactive.
constexpr int activePercent = 50;

decisions::routing::SelectorSettings selectorSettings()
{
    decisions::routing::SelectorSettings settings;
    // Services share one health tracker, and all backend servers of a small service may be ejected at once.
    settings.minAvailableFraction = 0.5;
    return settings;
}

} // namespace

core::VmId selectorId(const BackendId &id)
{
    return core::VmId(id.text());
}

std::optional<asio::ip::tcp::endpoint> endpointFrom(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    asio::error_code error;
    const auto address = asio::ip::make_address_v4(std::string(text.substr(0, colon)), error);
    std::uint16_t port = 0;
    const char *const end = text.data() + text.size();
    const auto [last, portError] = std::from_chars(text.data() + colon + 1, end, port);
    if (error || portError != std::errc() || last != end || port == 0) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint(address, port);
}

BackendSet::BackendSet(core::DataCentreId localDataCentre, std::uint64_t seed)
    : m_localDataCentre(std::move(localDataCentre)), m_selector(selectorSettings(), seed), m_intake(core::mixBits(seed))
{ }

void BackendSet::apply(const decisions::membership::DirectoryChanges &changes, core::TimePoint now)
{
    forgetLimits(now);
    for (const auto &change : changes) {
        if (const auto *unusable = std::get_if<BackendUnusable>(&change)) {
            const auto known = m_backends.find(unusable->id);
            if (known != m_backends.end() && m_intake.limitOf(unusable->id)) {
                m_limitsOfAbsent.insert_or_assign(unusable->id, AbsentBackend{known->second.startedAtMs, now});
            } else if (known != m_backends.end()) {
                m_intake.remove(unusable->id);
            }
            m_backends.erase(unusable->id);
            m_endpoints.erase(unusable->id);
            m_states.erase(unusable->id);
            continue;
        }
        const auto &backend = std::get<BackendUsable>(change).backend;
        const auto absent = m_limitsOfAbsent.extract(backend.id);
        if (!absent.empty() && absent.mapped().startedAtMs != backend.startedAtMs) {
            m_intake.remove(backend.id);
        }
        const auto known = m_backends.find(backend.id);
        if (known != m_backends.end() && known->second.startedAtMs != backend.startedAtMs) {
            m_intake.remove(backend.id);
            m_selector.remove(selectorId(backend.id));
        }
        m_backends.erase(backend.id);
        m_endpoints.erase(backend.id);
        if (const auto endpoint = endpointFrom(backend.address)) {
            m_backends.emplace(backend.id, backend);
            m_endpoints.emplace(backend.id, *endpoint);
            m_states.insert({backend.id, BackendState{std::nullopt, {}, now}});
        }
    }
    if (changes.empty()) {
        return;
    }
    updateCandidates();
    for (const auto &change : changes) {
        if (const auto *usable = std::get_if<BackendUsable>(&change)) {
            resumePause(usable->backend, now);
        }
    }
}

void BackendSet::forgetLimits(core::TimePoint now)
{
    std::erase_if(m_limitsOfAbsent, [this, now](const auto &item) {
        const bool isOver = now - item.second.since >= absentTimeToLive;
        if (isOver) {
            m_intake.remove(item.first);
        }
        return isOver;
    });
}

void BackendSet::setPosition(const decisions::membership::EntryPosition &position, core::TimePoint now)
{
    m_entries = position.entries;
    m_selector.setLiveEntries(position.entries);
    m_intake.setPosition(position, now);
}

void BackendSet::setModels(std::map<core::ServiceId, ModelShape> models)
{
    m_models = std::move(models);
    if (m_isAdaptive) {
        updateCandidates();
    }
}

void BackendSet::enableAdaptiveCapacity()
{
    m_isAdaptive = true;
    updateCandidates();
}

void BackendSet::updateCandidates()
{
    std::vector<decisions::routing::BackendCandidate> candidates;
    for (const auto &[id, backend] : m_backends) {
        decisions::routing::BackendCandidate candidate;
        candidate.vm = selectorId(id);
        candidate.dataCentre = backend.dataCentre;
        candidate.service = backend.service;
        candidate.hasAdaptiveCapacity = isAdaptive(backend);
        candidate.incarnation = backend.startedAtMs;
        candidate.isEvacuated = isEvacuated(backend);
        candidates.push_back(std::move(candidate));
    }
    m_selector.setCandidates(std::move(candidates));
}

void BackendSet::updateBackendLoad(const BackendId &id, const BackendLoad &load, core::TimePoint now)
{
    if (!m_backends.contains(id)) {
        return;
    }
    m_states[id].load = load;
    decisions::routing::RankLoad rank;
    rank.queued = load.waiting;
    rank.running = load.running;
    rank.outstandingTokens = expectedRemainingTokens * (load.running + load.waiting);
    m_selector.reportLoad(selectorId(id), {{rank}, std::min(load.measuredAt, now)});
}

bool BackendSet::isUnresponsive(const BackendId &id, core::TimePoint now) const
{
    const auto found = m_states.find(id);
    return found == m_states.end()
        || (found->second.load && now - found->second.load->measuredAt >= unresponsiveTimeout);
}

bool BackendSet::isAwaitingStatus(const RegisteredBackend &backend, core::TimePoint now) const
{
    const auto found = m_states.find(backend.id);
    return m_models.contains(backend.service) && found != m_states.end() && !found->second.load
        && now - found->second.addedAt < firstStatusTimeout;
}

bool BackendSet::hasRecentStatus(const BackendState &state, core::TimePoint now)
{
    return state.load && now - state.load->measuredAt < rankStatusTimeout;
}

core::GroupId BackendSet::groupOf(const BackendId &id) const
{
    const auto found = m_states.find(id);
    return found != m_states.end() && found->second.load ? found->second.load->group : core::GroupId();
}

core::GroupId BackendSet::stalledGroup(const BackendRequirements &request, core::TimePoint now) const
{
    if (request.inactivity == core::Duration::zero() || request.tried.empty()) {
        return {};
    }
    const auto group = groupOf(request.tried.back());
    const auto lastEvent = m_groupEvents.find(group);
    // The ranks of a group execute each pass together, but the events of its last pass do not arrive together.
    const bool isActive
        = lastEvent != m_groupEvents.end() && now - lastEvent->second < percentOf(request.inactivity, activePercent);
    return isActive ? core::GroupId() : group;
}

void BackendSet::recordGroupEvent(AttemptId attempt, core::TimePoint now)
{
    const auto found = m_attempts.find(attempt);
    const auto group = found != m_attempts.end() ? groupOf(found->second) : core::GroupId();
    if (!group.isEmpty()) {
        m_groupEvents[group] = now;
    }
}

double BackendSet::meanRunning(const core::GroupId &group, core::TimePoint now) const
{
    double sum = 0.0;
    int ranks = 0;
    for (const auto &[id, state] : m_states) {
        if (state.load && state.load->group == group) {
            sum += m_selector.estimatedRequests(selectorId(id), now);
            ++ranks;
        }
    }
    return ranks > 0 ? sum / ranks : 0.0;
}

double BackendSet::capacityOf(const RegisteredBackend &backend, const BackendLoad &load,
                              const BackendRequirements &request, core::TimePoint now) const
{
    const auto slots = static_cast<double>(backend.slots);
    if (const auto limit = inTimeCapacityOf(backend, load.group, request.maxEventInterval, now)) {
        return std::min(*limit * maxRankOverGroupMean, slots);
    }
    if (request.acceptsSaturated) {
        return slots + maxQueuedAtEngine;
    }
    const auto passModel = m_passModels.find(load.group);
    const auto limit = passModel != m_passModels.end() && request.maxEventInterval > core::Duration::zero()
        ? passModel->second.maxRunning(percentOf(request.maxEventInterval, maxPassPercent), now)
        : std::nullopt;
    return limit ? std::clamp(*limit, slots * minCapacityFraction, slots) : slots * unsaturatedFraction;
}

double BackendSet::ownCapacityOf(const RegisteredBackend &backend, core::TimePoint now) const
{
    const auto entries = static_cast<double>(std::max<std::size_t>(m_entries, 1));
    const double share = static_cast<double>(backend.slots) * ownShareOfSlots / entries;
    const auto vm = selectorId(backend.id);
    const double capacity = std::max(1.0, std::max(share, minOwnCapacity) * m_selector.loadFraction(vm, now));
    const auto limit = m_selector.capacity().limit(vm, now);
    return limit ? std::min(capacity, static_cast<double>(*limit)) : capacity;
}

bool BackendSet::canAccept(const RegisteredBackend &backend, const BackendRequirements &request,
                           core::TimePoint now) const
{
    if (!m_intake.mayReceive(backend.id, now)) {
        return false;
    }
    const auto found = m_states.find(backend.id);
    if (found == m_states.end()) {
        return true;
    }
    const auto &state = found->second;
    if (now < state.backoffUntil || isAwaitingStatus(backend, now)) {
        return false;
    }
    if (!hasRecentStatus(state, now)) {
        const auto own = static_cast<double>(m_selector.inFlightRequests(selectorId(backend.id)));
        return backend.slots == 0 || own < ownCapacityOf(backend, now);
    }
    if (!state.load->isGroupStepping || backend.slots == 0) {
        return state.load->isGroupStepping;
    }
    return m_selector.estimatedRequests(selectorId(backend.id), now) < capacityOf(backend, *state.load, request, now);
}

core::Result<ChosenBackend> BackendSet::selectBackend(const BackendRequirements &request, AttemptId attempt,
                                                      core::TimePoint now)
{
    decisions::routing::RouteRequest route;
    route.service = request.service;
    route.expectedTokens = request.expectedTokens;
    route.localDataCentre = m_localDataCentre;
    route.isIdempotent = request.isIdempotent;
    route.hasLittleTime = request.hasLittleTime;
    for (const auto &id : request.tried) {
        route.excluded.push_back(selectorId(id));
    }
    const auto stalled = stalledGroup(request, now);
    const auto full = fullGroups(request, now);
    bool canAnyAccept = false;
    for (const auto &[id, backend] : m_backends) {
        const bool isStalled = !stalled.isEmpty() && groupOf(id) == stalled;
        const bool isFull = !full.empty() && full.contains(groupOf(id));
        if (backend.service == request.service && (isStalled || isFull || !canAccept(backend, request, now))) {
            route.excluded.push_back(selectorId(id));
            continue;
        }
        canAnyAccept = canAnyAccept || backend.service == request.service;
        if (m_intake.isCold(id, now)) {
            route.slow.push_back(selectorId(id));
        }
    }
    if (!canAnyAccept) {
        // The first waiting request of a service is tried on each advance, and this is the usual result.
        return core::Error{core::ErrorKind::NoBackendServer, "no backend server accepts the request"};
    }
    const auto result = m_selector.choose(route, now);
    if (!core::isOk(result)) {
        return core::Error{core::ErrorKind::NoBackendServer, core::errorOf(result).detail,
                           core::errorOf(result).retryAfter};
    }
    const auto &choice = core::valueOf(result);
    const BackendId id(choice.vm.text());
    m_selector.requestSent(attempt, choice, request.expectedTokens, now);
    m_attempts[attempt] = id;
    m_intake.recordSent(id, now);
    return ChosenBackend{id, m_backends.at(id).startedAtMs, m_endpoints.at(id), choice, m_intake.isCold(id, now)};
}

void BackendSet::recordFirstEvent(AttemptId attempt, std::uint64_t promptTokens, core::TimePoint now)
{
    m_selector.firstToken(attempt, promptTokens, now);
    recordGroupEvent(attempt, now);
}

void BackendSet::recordNextEvent(AttemptId attempt, core::Duration interval, core::TimePoint now)
{
    recordGroupEvent(attempt, now);
    const auto found = m_attempts.find(attempt);
    const auto state = found != m_attempts.end() ? m_states.find(found->second) : m_states.end();
    if (state == m_states.end() || !state->second.load || state->second.load->group.isEmpty()) {
        return;
    }
    const auto backend = m_backends.find(found->second);
    const auto model = backend != m_backends.end() ? m_models.find(backend->second.service) : m_models.end();
    if (model == m_models.end() || !model->second.steps.isKnown()) {
        return;
    }
    const auto &group = state->second.load->group;
    auto &passModel = m_passModels.try_emplace(group, model->second.steps).first->second;
    if (passModel.recordInterval(interval, now)) {
        passModel.endWindow(meanRunning(group, now), now);
    }
}

void BackendSet::recordAttemptEnd(AttemptId attempt, Outcome outcome, core::TimePoint now)
{
    m_selector.requestEnded(attempt, outcome, now);
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return;
    }
    if (outcome == Outcome::Refused && m_backends.contains(found->second)) {
        m_states[found->second].backoffUntil = now + refusalBackoff;
    }
    m_attempts.erase(found);
}

bool BackendSet::recordTurnedAway(const decisions::intake::TurnAway &turnAway, core::TimePoint now)
{
    const bool isNew = m_turnAways.record(turnAway, now);
    const auto registered = m_backends.find(turnAway.backend);
    if (registered != m_backends.end()) {
        resumePause(registered->second, now);
    }
    return isNew;
}

void BackendSet::resumePause(const RegisteredBackend &backend, core::TimePoint now)
{
    if (const auto pause = pauseOf(backend.id, backend.startedAtMs, now)) {
        m_selector.turnedAway(selectorId(backend.id), pause->until, now);
    }
}

std::optional<core::Error> BackendSet::turnAwayError(const core::ServiceId &service, const WaitLimits &limits,
                                                     std::string_view attemptName, core::TimePoint now) const
{
    const auto until = turnedAwayUntil(service, now);
    if (!until || *until <= limits.waitDeadline) {
        return std::nullopt;
    }
    return core::Error{core::ErrorKind::TurnedAway, "all backend servers have asked for a pause",
                       spreadRetryAfter(std::chrono::ceil<std::chrono::milliseconds>(*until - now), attemptName)};
}

std::optional<core::Error> BackendSet::limitError(const core::ServiceId &service, std::size_t waiting,
                                                  WaitLimits &limits, std::string_view attemptName,
                                                  core::TimePoint now) const
{
    const auto until = now + percentOf(limits.waitDeadline - now, maxWaitForLimitPercent);
    std::size_t allowed = 0;
    double perSecond = 0.0;
    bool isKnownService = false;
    for (const auto &[id, backend] : m_backends) {
        if (backend.service != service || isEvacuated(backend)) {
            continue;
        }
        const auto allowedHere = m_intake.allowedUntil(id, until, now);
        if (!allowedHere) {
            return std::nullopt;
        }
        isKnownService = true;
        allowed += *allowedHere;
        perSecond += m_intake.shareOf(id);
    }
    if (!isKnownService) {
        return std::nullopt;
    }
    if (waiting < allowed) {
        limits.lateSince = limits.waitDeadline;
        return std::nullopt;
    }
    const std::chrono::duration<double> untilTurn = perSecond > 0.0
        ? std::chrono::duration<double>(static_cast<double>(waiting + 1) / perSecond)
        : std::chrono::duration<double>(limits.waitDeadline - now);
    return core::Error{core::ErrorKind::Overloaded, "the limits of all backend servers are used up",
                       spreadRetryAfter(std::chrono::ceil<std::chrono::milliseconds>(untilTurn), attemptName)};
}

std::optional<core::TimePoint> BackendSet::turnedAwayUntil(const core::ServiceId &service, core::TimePoint now) const
{
    decisions::routing::RouteRequest route;
    route.service = service;
    return m_selector.turnedAwayUntil(route, now);
}

std::optional<RegisteredBackend> BackendSet::find(const BackendId &id) const
{
    const auto found = m_backends.find(id);
    return found == m_backends.end() ? std::nullopt : std::optional(found->second);
}

bool BackendSet::isInUse(const asio::ip::tcp::endpoint &endpoint) const
{
    return std::any_of(m_endpoints.begin(), m_endpoints.end(),
                       [&endpoint](const auto &item) { return item.second == endpoint; });
}

} // namespace lycheelanding::forwarding

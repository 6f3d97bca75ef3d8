#include "lycheelanding/forwarding/backendset.h"

#include "lycheelanding/forwarding/percent.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

namespace lycheelanding::forwarding {

namespace {

using decisions::membership::BackendUnusable;
using decisions::membership::BackendUsable;

/// News of a rank that are older say nothing of its group any more; they come ten times a second.
constexpr std::chrono::milliseconds newsLimit{1000};
/// Time without news after which the VM of a backend server is taken to be silent: five of them were missed.
constexpr std::chrono::milliseconds silentAfter{500};
/// How long a new backend server of a rank group gets no work while there is no news of it: its side may be gone.
constexpr std::chrono::milliseconds firstNewsLimit{1500};
/// Requests that may wait at an engine beyond those that run: enough to fill a place that becomes free at once.
constexpr double mostWaitingAtEngine = 3.0;
/// Part of an engine's places up to which its passes stay short enough for streams without pauses while nothing is
/// known of them, also while the load of its experts is uneven.
constexpr double uncrowdedPart = 0.75;
/// Part of an engine's places that is used however long its passes take: without requests nothing shows how long.
constexpr double leastPart = 0.5;
/// Part of the longest pause, in percent, that a pass may take: the rest is for requests that other entries send at the
/// same time, for prompts and for the way of the event.
constexpr int passPercent = 92;
/// Pause after a backend server has refused a request: about the time in which it ends one.
constexpr std::chrono::milliseconds refusalPause{150};
/// Tokens that a running request is likely to have left: half of a usual answer.
constexpr std::uint64_t tokensLeftOfRunning = 80;

decisions::routing::SelectorSettings selectorSettings()
{
    decisions::routing::SelectorSettings settings;
    // Services share one tracker of health, and a small one may be set aside as a whole.
    settings.minAvailableFraction = 0.5;
    return settings;
}

core::VmId selectorName(const BackendId &id)
{
    return core::VmId(id.text());
}

} // namespace

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

BackendSet::BackendSet(core::DataCentreId ownDataCentre, std::uint64_t seed)
    : m_ownDataCentre(std::move(ownDataCentre)), m_selector(selectorSettings(), seed)
{ }

void BackendSet::apply(const decisions::membership::DirectoryChanges &changes, core::TimePoint now)
{
    for (const auto &change : changes) {
        if (const auto *gone = std::get_if<BackendUnusable>(&change)) {
            m_backends.erase(gone->id);
            m_endpoints.erase(gone->id);
            m_conditions.erase(gone->id);
            continue;
        }
        const auto &backend = std::get<BackendUsable>(change).backend;
        m_backends.erase(backend.id);
        m_endpoints.erase(backend.id);
        if (const auto endpoint = endpointFrom(backend.address)) {
            m_backends.emplace(backend.id, backend);
            m_endpoints.emplace(backend.id, *endpoint);
            m_conditions.insert({backend.id, Condition{std::nullopt, {}, now}});
        }
    }
    if (!changes.empty()) {
        updateCandidates();
    }
}

void BackendSet::updateCandidates()
{
    std::vector<decisions::routing::BackendCandidate> candidates;
    for (const auto &[id, backend] : m_backends) {
        decisions::routing::BackendCandidate candidate;
        candidate.vm = selectorName(id);
        candidate.dataCentre = backend.dataCentre;
        candidate.service = backend.service;
        candidates.push_back(std::move(candidate));
    }
    m_selector.setCandidates(std::move(candidates));
}

void BackendSet::reportRank(const BackendId &id, const RankLoad &load, core::TimePoint now)
{
    if (!m_backends.contains(id)) {
        return;
    }
    m_conditions[id].load = load;
    decisions::routing::RankLoad rank;
    rank.queued = load.waiting;
    rank.running = load.running;
    rank.outstandingTokens = tokensLeftOfRunning * (load.running + load.waiting);
    m_selector.reportLoad(selectorName(id), {{rank}, std::min(load.measuredAt, now)});
}

bool BackendSet::isSilent(const BackendId &id, core::TimePoint now) const
{
    const auto found = m_conditions.find(id);
    return found == m_conditions.end() || (found->second.load && now - found->second.load->measuredAt >= silentAfter);
}

bool BackendSet::isAwaitingNews(const RegisteredBackend &backend, core::TimePoint now) const
{
    const auto found = m_conditions.find(backend.id);
    return m_models.contains(backend.service) && found != m_conditions.end() && !found->second.load
        && now - found->second.knownSince < firstNewsLimit;
}

double BackendSet::meanRunning(const core::GroupId &group, core::TimePoint now) const
{
    double sum = 0.0;
    int ranks = 0;
    for (const auto &[id, condition] : m_conditions) {
        if (condition.load && condition.load->group == group) {
            sum += m_selector.estimatedRequests(selectorName(id), now);
            ++ranks;
        }
    }
    return ranks > 0 ? sum / ranks : 0.0;
}

double BackendSet::placesAt(const RegisteredBackend &backend, const RankLoad &load, const BackendRequest &request,
                            core::TimePoint now) const
{
    const auto slots = static_cast<double>(backend.slots);
    if (request.acceptsCrowded) {
        return slots + mostWaitingAtEngine;
    }
    const auto pace = m_paces.find(load.group);
    const auto most = pace != m_paces.end() && request.longestPause > core::Duration::zero()
        ? pace->second.mostRunning(percentOf(request.longestPause, passPercent), now)
        : std::nullopt;
    return most ? std::clamp(*most, slots * leastPart, slots) : slots * uncrowdedPart;
}

bool BackendSet::mayTake(const RegisteredBackend &backend, const BackendRequest &request, core::TimePoint now) const
{
    const auto found = m_conditions.find(backend.id);
    if (found == m_conditions.end()) {
        return true;
    }
    const auto &condition = found->second;
    if (now < condition.restsUntil || isAwaitingNews(backend, now)) {
        return false;
    }
    const bool hasNews = condition.load && now - condition.load->measuredAt < newsLimit;
    if (!hasNews) {
        return true;
    }
    if (!condition.load->isOpen || backend.slots == 0) {
        return condition.load->isOpen;
    }
    return m_selector.estimatedRequests(selectorName(backend.id), now)
        < placesAt(backend, *condition.load, request, now);
}

core::Result<ChosenBackend> BackendSet::chooseAndSend(const BackendRequest &request, AttemptId attempt,
                                                      core::TimePoint now)
{
    decisions::routing::RouteRequest route;
    route.service = request.service;
    route.expectedTokens = request.expectedTokens;
    route.localDataCentre = m_ownDataCentre;
    route.idempotent = request.isIdempotent;
    for (const auto &id : request.tried) {
        route.excluded.push_back(selectorName(id));
    }
    for (const auto &[id, backend] : m_backends) {
        if (backend.service == request.service && !mayTake(backend, request, now)) {
            route.excluded.push_back(selectorName(id));
        }
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
    return ChosenBackend{id, m_endpoints.at(id), choice};
}

void BackendSet::firstEvent(AttemptId attempt, std::uint64_t promptTokens, core::TimePoint now)
{
    m_selector.firstToken(attempt, promptTokens, now);
}

void BackendSet::nextEvent(AttemptId attempt, core::Duration pause, core::TimePoint now)
{
    const auto found = m_attempts.find(attempt);
    const auto condition = found != m_attempts.end() ? m_conditions.find(found->second) : m_conditions.end();
    if (condition == m_conditions.end() || !condition->second.load || condition->second.load->group.isEmpty()) {
        return;
    }
    const auto backend = m_backends.find(found->second);
    const auto model = backend != m_backends.end() ? m_models.find(backend->second.service) : m_models.end();
    if (model == m_models.end() || !model->second.steps.isKnown()) {
        return;
    }
    const auto &group = condition->second.load->group;
    auto &pace = m_paces.try_emplace(group, model->second.steps).first->second;
    if (pace.eventSeen(pause, now)) {
        pace.endWindow(meanRunning(group, now), now);
    }
}

void BackendSet::ended(AttemptId attempt, Outcome outcome, core::TimePoint now)
{
    m_selector.requestEnded(attempt, outcome, now);
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return;
    }
    if (outcome == Outcome::Refused && m_backends.contains(found->second)) {
        m_conditions[found->second].restsUntil = now + refusalPause;
    }
    m_attempts.erase(found);
}

std::optional<RegisteredBackend> BackendSet::find(const BackendId &id) const
{
    const auto found = m_backends.find(id);
    return found == m_backends.end() ? std::nullopt : std::optional(found->second);
}

bool BackendSet::isUsed(const asio::ip::tcp::endpoint &endpoint) const
{
    return std::any_of(m_endpoints.begin(), m_endpoints.end(),
                       [&endpoint](const auto &entry) { return entry.second == endpoint; });
}

} // namespace lycheelanding::forwarding

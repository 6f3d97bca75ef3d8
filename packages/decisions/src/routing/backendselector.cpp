#include "lycheelanding/decisions/routing/backendselector.h"

#include "lycheelanding/core/stablehash.h"

#include <utility>

namespace lycheelanding::decisions::routing {

namespace {

// The rate of work sent is a moving average of one sample per period.
constexpr core::Duration ratePeriod = std::chrono::milliseconds(200);
constexpr double rateWeight = 0.3;

template <typename Value>
bool contains(const std::vector<Value> &values, const Value &value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

bool isIn(const std::vector<core::VmId> &sorted, const core::VmId &vm)
{
    return std::binary_search(sorted.begin(), sorted.end(), vm);
}

} // namespace

BackendSelector::BackendSelector(SelectorSettings settings, std::uint64_t seed)
    : m_settings(settings), m_random(seed), m_health(settings.health, core::mixBits(seed))
{ }

void BackendSelector::setCandidates(std::vector<BackendCandidate> candidates)
{
    std::map<core::VmId, Server> servers;
    for (auto &candidate : candidates) {
        const core::VmId vm = candidate.vm;
        const auto known = m_servers.find(vm);
        Server server = known == m_servers.end() ? Server() : std::move(known->second);
        const bool sameRanks = known != m_servers.end() && server.candidate.ranks == candidate.ranks;
        if (!sameRanks) {
            server.ranks = ranksOf(candidate);
        }
        server.candidate = std::move(candidate);
        servers[vm] = std::move(server);
    }
    m_servers = std::move(servers);
    updateTrackedServers();
}

void BackendSelector::reportLoad(const core::VmId &vm, const LoadReport &report)
{
    for (const auto &load : report.ranks) {
        Rank *rank = rankOf(vm, load.rank);
        if (rank != nullptr) {
            rank->tokens.reported(load.outstandingTokens, report.measuredAt);
            if (load.running) {
                rank->requests.reported(load.queued + *load.running, report.measuredAt);
            }
        }
    }
}

void BackendSelector::remove(const core::VmId &vm)
{
    m_servers.erase(vm);
    updateTrackedServers();
}

void BackendSelector::requestSent(AttemptId attempt, const Choice &choice, std::uint64_t expectedTokens,
                                  core::TimePoint now)
{
    const auto server = m_servers.find(choice.vm);
    Rank *rank = rankOf(choice.vm, choice.rank);
    if (server == m_servers.end() || rank == nullptr) {
        return;
    }
    ++server->second.inFlight;
    const std::uint64_t tokens = expectedTokens - std::min(expectedTokens, choice.savedTokens);
    rank->tokens.sent(tokens, now);
    rank->requests.sent(1, now);
    if (server->second.candidate.hasAdaptiveCapacity) {
        redrawCompetitors(server->second);
    } else {
        rank->dither = m_random.nextUnit();
    }
    const auto &candidate = server->second.candidate;
    m_attempts[attempt] = {choice.vm,
                           choice.rank,
                           tokens,
                           now,
                           false,
                           candidate.incarnation,
                           server->second.inFlight,
                           candidate.hasAdaptiveCapacity,
                           std::nullopt};
    m_health.requestSent(choice.vm, choice.isProbe, now);
    recordSent(m_settings.requestWeight + m_settings.tokenWeight * static_cast<double>(tokens), now);
}

void BackendSelector::firstToken(AttemptId attempt, std::uint64_t promptTokens, core::TimePoint now)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return;
    }
    Attempt &state = found->second;
    if (!state.hasFirstToken) {
        m_health.responded(state.vm, now - state.lastToken);
    }
    recordTokensDone(state, promptTokens, now);
    state.hasFirstToken = true;
    state.lastToken = now;
}

void BackendSelector::tokenProgress(AttemptId attempt, std::uint64_t tokens, core::TimePoint now)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end() || tokens == 0) {
        return;
    }
    Attempt &state = found->second;
    recordTokensDone(state, tokens, now);
    if (state.hasFirstToken) {
        m_speed.tokenGap(state.vm, (now - state.lastToken) / static_cast<std::int64_t>(tokens), now);
    }
    state.hasFirstToken = true;
    state.lastToken = now;
}

void BackendSelector::requestWritten(AttemptId attempt, core::TimePoint now)
{
    const auto found = m_attempts.find(attempt);
    if (found != m_attempts.end() && found->second.isEstimated) {
        found->second.writtenAt = now;
    }
}

void BackendSelector::answerBegan(AttemptId attempt, core::TimePoint now)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return;
    }
    if (const auto writtenAt = std::exchange(found->second.writtenAt, std::nullopt)) {
        m_capacity.answered(sampleOf(found->second, *writtenAt, now), now);
    }
}

ResponseSample BackendSelector::sampleOf(const Attempt &attempt, core::TimePoint writtenAt, core::TimePoint now)
{
    return {attempt.vm, attempt.incarnation, writtenAt, now - writtenAt, attempt.inProgress};
}

void BackendSelector::recordEndWithoutAnswer(const Attempt &attempt, Outcome outcome, core::TimePoint now)
{
    if (!attempt.writtenAt || outcome == Outcome::Leaving) {
        return;
    }
    const auto sample = sampleOf(attempt, *attempt.writtenAt, now);
    if (outcome == Outcome::Refused) {
        m_capacity.refused(sample, now);
    } else {
        m_capacity.failed(sample, now);
    }
}

void BackendSelector::requestEnded(AttemptId attempt, Outcome outcome, core::TimePoint now)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return;
    }
    const Attempt state = found->second;
    m_attempts.erase(found);
    recordEndWithoutAnswer(state, outcome, now);
    const auto server = m_servers.find(state.vm);
    if (server != m_servers.end() && server->second.inFlight > 0) {
        --server->second.inFlight;
    }
    if (Rank *rank = rankOf(state.vm, state.rank)) {
        rank->tokens.done(state.tokensLeft, now);
        rank->requests.done(1, now);
    }
    switch (outcome) {
    case Outcome::Answered:
        if (!state.hasFirstToken) {
            m_health.responded(state.vm, now - state.lastToken);
        }
        m_health.succeeded(state.vm, now);
        break;
    case Outcome::Failed:
    case Outcome::TimedOut:
        m_health.failed(state.vm, now);
        break;
    case Outcome::Leaving:
        // The refusal arrives before the VM list and the heartbeats show that the VM is leaving.
        setLeaving(state.vm);
        m_health.released(state.vm, now);
        break;
    case Outcome::Refused:
    case Outcome::Cancelled:
        m_health.released(state.vm, now);
        break;
    }
}

core::Result<Choice> BackendSelector::choose(const RouteRequest &request, core::TimePoint now)
{
    // Each server is looked up in these lists: with 200 servers, unsorted ones took most of the time of a choice.
    RouteRequest route = request;
    std::sort(route.excluded.begin(), route.excluded.end());
    std::sort(route.slow.begin(), route.slow.end());
    const bool isServed = std::any_of(m_servers.begin(), m_servers.end(),
                                      [&](const auto &item) { return serves(item.second.candidate, request); });
    if (!isServed) {
        return core::Error{core::ErrorKind::UnknownModel, "no backend server has the model, version and adapter"};
    }
    if (const auto probe = probeFor(route, now)) {
        return *probe;
    }
    std::vector<Target> targets = targetsFor(route, now);
    if (targets.empty()) {
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(m_health.nextProbeAt(now) - now);
        return core::Error{core::ErrorKind::NoBackendServer, "all backend servers are leaving, excluded or set aside",
                           wait};
    }
    if (request.hasLittleTime) {
        removeSlow(targets, route);
    }
    addCosts(targets, route, now);
    return pick(targets, route);
}

bool BackendSelector::isAvailable(const core::VmId &vm, core::TimePoint now) const
{
    return m_servers.contains(vm) && m_health.availability(vm, now) == Availability::Available;
}

std::size_t BackendSelector::inFlightRequests(const core::VmId &vm) const
{
    const auto found = m_servers.find(vm);
    return found == m_servers.end() ? 0 : found->second.inFlight;
}

double BackendSelector::estimatedRequests(const core::VmId &vm, core::TimePoint now) const
{
    const auto found = m_servers.find(vm);
    double busiest = 0.0;
    if (found != m_servers.end()) {
        for (const auto &rank : found->second.ranks) {
            busiest = std::max(busiest, rank.requests.estimate(m_liveEntries, m_settings.reportTimeConstant, now));
        }
    }
    return busiest;
}

std::uint64_t BackendSelector::inFlightTokens(const core::VmId &vm) const
{
    const auto found = m_servers.find(vm);
    std::uint64_t sum = 0;
    if (found != m_servers.end()) {
        for (const auto &rank : found->second.ranks) {
            sum += rank.tokens.inFlightTokens();
        }
    }
    return sum;
}

bool BackendSelector::serves(const BackendCandidate &candidate, const RouteRequest &request)
{
    return !candidate.isEvacuated && candidate.service == request.service && candidate.model == request.model
        && (!request.version || contains(candidate.versions, *request.version))
        && (!request.adapter || contains(candidate.adapters, *request.adapter));
}

std::vector<BackendSelector::Rank> BackendSelector::ranksOf(const BackendCandidate &candidate)
{
    std::vector<Rank> ranks;
    for (const auto rank : candidate.ranks) {
        Rank &held = ranks.emplace_back();
        held.rank = rank;
        held.hash = core::stableHash(candidate.vm.text() + '/' + std::to_string(rank.number()));
    }
    if (ranks.empty()) {
        ranks.emplace_back().hash = core::stableHash(candidate.vm.text());
    }
    for (auto &rank : ranks) {
        rank.dither = m_random.nextUnit();
    }
    return ranks;
}

BackendSelector::Rank *BackendSelector::rankOf(const core::VmId &vm, core::RankIndex rank)
{
    const auto found = m_servers.find(vm);
    if (found == m_servers.end()) {
        return nullptr;
    }
    for (auto &held : found->second.ranks) {
        if (held.rank == rank) {
            return &held;
        }
    }
    return nullptr;
}

void BackendSelector::recordTokensDone(Attempt &attempt, std::uint64_t tokens, core::TimePoint now)
{
    const std::uint64_t counted = std::min(tokens, attempt.tokensLeft);
    attempt.tokensLeft -= counted;
    if (Rank *rank = rankOf(attempt.vm, attempt.rank)) {
        rank->tokens.done(counted, now);
    }
    m_health.progressed(attempt.vm, now);
}

std::vector<BackendSelector::Target> BackendSelector::targetsFor(const RouteRequest &request, core::TimePoint now) const
{
    std::vector<Target> targets;
    const bool ignoresHealth = areTooFewAvailable(request, now);
    for (const auto &[vm, server] : m_servers) {
        const bool isHealthy = ignoresHealth ? !isClosed(vm, now) : isAvailable(vm, now);
        const bool isUsable = serves(server.candidate, request) && isHealthy;
        if (!isUsable || isIn(request.excluded, vm)) {
            continue;
        }
        for (const auto &rank : server.ranks) {
            targets.push_back({&server, &rank});
        }
    }
    return targets;
}

bool BackendSelector::isClosed(const core::VmId &vm, core::TimePoint now) const
{
    const auto availability = m_health.availability(vm, now);
    return availability == Availability::Leaving || availability == Availability::TurnedAway
        || availability == Availability::Return;
}

std::optional<core::TimePoint> BackendSelector::turnedAwayUntil(const RouteRequest &request, core::TimePoint now) const
{
    std::optional<core::TimePoint> earliest;
    for (const auto &[vm, server] : m_servers) {
        if (!serves(server.candidate, request) || m_health.availability(vm, now) == Availability::Leaving) {
            continue;
        }
        const auto returnAt = m_health.returnAt(vm, now);
        if (!returnAt) {
            return std::nullopt;
        }
        earliest = std::min(earliest.value_or(*returnAt), *returnAt);
    }
    return earliest;
}

bool BackendSelector::areTooFewAvailable(const RouteRequest &request, core::TimePoint now) const
{
    std::size_t usable = 0;
    std::size_t available = 0;
    for (const auto &[vm, server] : m_servers) {
        if (serves(server.candidate, request) && !isClosed(vm, now)) {
            ++usable;
            available += isAvailable(vm, now) ? 1 : 0;
        }
    }
    return static_cast<double>(available) < m_settings.minAvailableFraction * static_cast<double>(usable);
}

std::optional<Choice> BackendSelector::probeFor(const RouteRequest &request, core::TimePoint now) const
{
    for (const auto &[vm, server] : m_servers) {
        const bool isTooSlow = request.hasLittleTime && isIn(request.slow, vm);
        if (!serves(server.candidate, request) || isIn(request.excluded, vm) || isTooSlow) {
            continue;
        }
        // A backend server that has turned requests away is not known to fail them.
        const auto availability = m_health.availability(vm, now);
        if (availability == Availability::Return || (availability == Availability::Probe && request.isIdempotent)) {
            return Choice{vm, server.ranks.front().rank, true};
        }
    }
    return std::nullopt;
}

void BackendSelector::removeSlow(std::vector<Target> &targets, const RouteRequest &request)
{
    const auto isSlow = [&request](const Target &target) { return isIn(request.slow, target.server->candidate.vm); };
    if (!std::all_of(targets.begin(), targets.end(), isSlow)) {
        std::erase_if(targets, isSlow);
    }
}

void BackendSelector::redrawCompetitors(const Server &server)
{
    for (auto &[vm, other] : m_servers) {
        if (other.candidate.service == server.candidate.service) {
            for (auto &rank : other.ranks) {
                rank.dither = m_random.nextUnit();
            }
        }
    }
}

Choice BackendSelector::pick(const std::vector<Target> &targets, const RouteRequest &request) const
{
    const auto cheapest = std::min_element(
        targets.begin(), targets.end(), [](const Target &left, const Target &right) { return left.cost < right.cost; });
    if (!request.prefix || m_settings.affinityWeight <= 0.0) {
        return choiceOf(*cheapest, 0);
    }
    // Rendezvous hashing: all entries derive the same order of ranks from the prefix, so requests with this prefix hit
    // the same few caches without coordination. The cost bound spreads a frequent prefix over more ranks.
    const double bound = cheapest->cost + m_settings.affinityWeight * static_cast<double>(request.prefix->tokens);
    const Target *preferred = &*cheapest;
    std::uint64_t preferredScore = 0;
    std::uint64_t highestScore = 0;
    for (const auto &target : targets) {
        const std::uint64_t score = core::mixBits(target.rank->hash ^ request.prefix->hash);
        highestScore = std::max(highestScore, score);
        if (target.cost <= bound && score >= preferredScore) {
            preferredScore = score;
            preferred = &target;
        }
    }
    const bool isLikelyCached = preferredScore == highestScore;
    return choiceOf(*preferred, isLikelyCached ? request.prefix->tokens : 0);
}

Choice BackendSelector::choiceOf(const Target &target, std::uint64_t savedTokens)
{
    return {target.server->candidate.vm, target.rank->rank, false, savedTokens};
}

void BackendSelector::updateTrackedServers()
{
    std::vector<core::VmId> vms;
    std::vector<EstimatedServer> estimated;
    for (const auto &[vm, server] : m_servers) {
        vms.push_back(vm);
        if (server.candidate.hasAdaptiveCapacity) {
            estimated.push_back({vm, server.candidate.service, server.candidate.incarnation});
        }
    }
    m_health.setServers(vms);
    m_speed.setServers(vms);
    m_capacity.setServers(estimated);
}

void BackendSelector::recordSent(double work, core::TimePoint now)
{
    m_sentInPeriod += work;
    const core::Duration passed = now - m_periodStart;
    if (passed < ratePeriod) {
        return;
    }
    const double rate = m_sentInPeriod / std::chrono::duration<double>(passed).count();
    m_sentRate += rateWeight * (rate - m_sentRate);
    m_sentInPeriod = 0.0;
    m_periodStart = now;
}

} // namespace lycheelanding::decisions::routing

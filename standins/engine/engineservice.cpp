#include "engine/engineservice.h"

#include <algorithm>
#include <random>
#include <utility>

namespace lycheelanding::standins::engine {

namespace {

using common::CallKind;
using common::jsonAnswer;
using std::chrono::milliseconds;

constexpr milliseconds beginRetryDelay{2};
constexpr milliseconds barrierRetryDelay{50};
constexpr milliseconds barrierTimeout = std::chrono::seconds(2);
constexpr int statusOk = 200;

Incarnation randomIncarnation()
{
    // JSON parsers that read numbers as doubles preserve only 53 bits.
    constexpr Incarnation mask = (Incarnation(1) << 53U) - 1;
    std::random_device device;
    return ((Incarnation(device()) << 32U) | device()) & mask;
}

Json toJson(const BarrierArrival &arrival)
{
    return {{"step", arrival.step ? Json(*arrival.step) : Json()},
            {"generation", arrival.generation},
            {"incarnation", arrival.incarnation},
            {"rankZeroIncarnation", arrival.rankZeroIncarnation ? Json(*arrival.rankZeroIncarnation) : Json()},
            {"ranks", arrival.ranks},
            {"mapVersion", arrival.mapVersion}};
}

template <typename Number>
std::optional<Number> optionalNumber(const Json &json, const char *key)
{
    const auto found = json.find(key);
    return found == json.end() || found->is_null() ? std::nullopt : std::optional(found->get<Number>());
}

BarrierArrival arrivalFrom(const Json &json)
{
    BarrierArrival arrival;
    arrival.step = optionalNumber<Step>(json, "step");
    arrival.generation = json.at("generation").get<Generation>();
    arrival.incarnation = json.at("incarnation").get<Incarnation>();
    arrival.rankZeroIncarnation = optionalNumber<Incarnation>(json, "rankZeroIncarnation");
    arrival.ranks = json.at("ranks").get<std::vector<Rank>>();
    arrival.mapVersion = json.at("mapVersion").get<MapVersion>();
    return arrival;
}

SteadyTime now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

EngineService::EngineService(asio::io_context &context, const Json &settings)
    : m_context(context), m_settings(engineSettingsFrom(settings)), m_incarnation(randomIncarnation()),
      m_faultInjector(context), m_maps(m_settings.honoursFencing, m_settings.generation, initialMap(m_settings)),
      m_barrier(m_settings.groupSize, m_settings.generation, m_incarnation), m_reports(m_settings.loadLag),
      m_loader(context, m_client, m_settings, [this](MapVersion version) {
          const std::lock_guard lock(m_mutex);
          m_maps.markLoaded(version);
      })
{
    for (const Rank rank : m_settings.ranks) {
        m_batches.emplace_back(rank, m_settings);
    }
    scheduleBeginStep(beginRetryDelay);
}

void EngineService::handle(const http::HttpExchangePointer &exchange)
{
    const http::HttpRequest &request = exchange->request();
    const auto path = request.path();
    const bool isPost = request.method == "POST";
    if (isPost && path == "/v1/chat/completions") {
        const ChatRequest chat = chatRequestFrom(request);
        m_faultInjector.admit(exchange, [this, exchange, chat] { startChat(exchange, chat); });
    } else if (isPost && path == "/orders") {
        const MapCommand command = mapCommandFrom(common::parseJsonBody(exchange));
        m_faultInjector.answer(exchange, CallKind::Write, [this, command] { return applyMapCommand(command); });
    } else if (isPost && path == "/generation") {
        const Json body = common::parseJsonBody(exchange);
        m_faultInjector.answer(exchange, CallKind::Write, [this, body] { return startGeneration(body); });
    } else if (isPost && path == "/barrier") {
        handleArrival(exchange);
    } else if (isPost && path == "/control") {
        handleControl(exchange);
    } else if (!handleReport(exchange)) {
        common::respondNotFound(exchange);
    }
}

bool EngineService::handleReport(const http::HttpExchangePointer &exchange)
{
    const http::HttpRequest &request = exchange->request();
    const auto path = request.path();
    const auto answer = [this, &exchange](auto report) {
        m_faultInjector.answer(exchange, CallKind::Read, [this, report] {
            const std::lock_guard lock(m_mutex);
            return jsonAnswer(statusOk, report());
        });
    };
    if (path == "/load") {
        answer([this] { return m_reports.load(now()); });
    } else if (path == "/cache-events") {
        const std::uint64_t after = common::numericQueryParameter(request, "after").value_or(0);
        answer([this, after] { return m_reports.cacheEvents(after, now()); });
    } else if (path == "/expert-counts") {
        answer([this] { return Json{{"step", m_currentStep}, {"layers", expertCounts(m_settings, m_currentStep)}}; });
    } else if (path == "/state") {
        answer([this] { return state(); });
    } else if (path == "/map") {
        answer([this] { return Json{{"mapVersion", m_maps.activeVersion()}, {"map", toJson(m_maps.activeMap())}}; });
    } else if (path == "/steps" || path == "/journal") {
        // Tests check their expectations against these, so they answer in every fault mode.
        const std::lock_guard lock(m_mutex);
        common::respondJson(exchange, statusOk, path == "/steps" ? m_barrier.report() : m_answers.journal());
    } else {
        return false;
    }
    return true;
}

void EngineService::handleControl(const http::HttpExchangePointer &exchange)
{
    const Json body = common::parseJsonBody(exchange);
    {
        const std::lock_guard lock(m_mutex);
        m_slowFactor = body.value("mode", std::string()) == "slow" ? body.value("factor", 1.0) : 1.0;
    }
    m_faultInjector.configure(body);
    common::respondJson(exchange, statusOk, Json::object());
}

void EngineService::startChat(const http::HttpExchangePointer &exchange, const ChatRequest &request)
{
    if (request.model != m_settings.model) {
        common::respondJson(exchange, 404, {{"error", "the engine does not serve model " + request.model}});
        return;
    }
    RequestId id = 0;
    {
        const std::lock_guard lock(m_mutex);
        RankBatch *const batch = batchFor(request);
        if (batch == nullptr) {
            common::respondJson(exchange, 400, {{"error", "the engine does not hold this rank"}});
            return;
        }
        id = ++m_lastRequestId;
        m_answers.add(id, exchange, request, batch->rank());
        batch->add(id, request);
    }
    exchange->onCallerGone([this, id] { cancelChat(id); });
}

void EngineService::cancelChat(RequestId id)
{
    const std::lock_guard lock(m_mutex);
    for (auto &batch : m_batches) {
        batch.cancel(id);
    }
    m_answers.remove(id);
}

RankBatch *EngineService::batchFor(const ChatRequest &request)
{
    if (!request.rank) {
        return &*std::min_element(m_batches.begin(), m_batches.end(),
                                  [](const RankBatch &left, const RankBatch &right) {
                                      return left.outstandingTokens() < right.outstandingTokens();
                                  });
    }
    const auto found = std::find_if(m_batches.begin(), m_batches.end(),
                                    [&request](const RankBatch &batch) { return batch.rank() == *request.rank; });
    return found == m_batches.end() ? nullptr : &*found;
}

http::HttpResponse EngineService::applyMapCommand(const MapCommand &command)
{
    const std::lock_guard lock(m_mutex);
    const MapCommandOutcome outcome = m_maps.apply(command, m_currentStep);
    if (outcome == MapCommandOutcome::StaleFencingToken) {
        return jsonAnswer(409, {{"error", "stale fencing token"}, {"state", state()}});
    }
    if (outcome == MapCommandOutcome::InvalidState) {
        return jsonAnswer(
            422, {{"error", "the command is not valid in the current state of the engine"}, {"state", state()}});
    }
    if (command.kind == MapCommandKind::Stage && m_maps.isLoading()) {
        m_loader.load(command.mapVersion, expertsToLoad(m_maps.activeMap(), command.map, m_settings.ranks));
    }
    return jsonAnswer(statusOk, {{"state", state()}});
}

http::HttpResponse EngineService::startGeneration(const Json &body)
{
    const auto generation = body.at("generation").get<Generation>();
    const std::lock_guard lock(m_mutex);
    if (!m_maps.startGeneration(generation, body.at("mapVersion").get<MapVersion>(), mapFrom(body.at("map")))) {
        return jsonAnswer(409, {{"generation", m_maps.generation()}});
    }
    ++m_epoch;
    m_phase = Phase::BetweenSteps;
    m_joining = true;
    m_rankZeroIncarnation.reset();
    m_barrier.startGeneration(generation, body.value("step", m_barrier.step()));
    for (const auto &waiting : m_waitingArrivals) {
        common::respondJson(waiting.exchange, 409, {{"generation", generation}});
    }
    m_waitingArrivals.clear();
    scheduleBeginStep(beginRetryDelay);
    return jsonAnswer(statusOk, {{"state", state()}});
}

Json EngineService::state() const
{
    Json state = m_maps.state();
    state["currentStep"] = m_currentStep;
    state["group"] = m_settings.group;
    state["ranks"] = m_settings.ranks;
    state["joining"] = m_joining;
    state["incarnation"] = m_incarnation;
    return state;
}

void EngineService::handleArrival(const http::HttpExchangePointer &exchange)
{
    const BarrierArrival arrival = arrivalFrom(common::parseJsonBody(exchange));
    const std::lock_guard lock(m_mutex);
    switch (m_barrier.arrive(arrival)) {
    case ArrivalOutcome::Refused:
        common::respondJson(exchange, 409, {{"generation", m_maps.generation()}, {"step", m_barrier.step()}});
        return;
    case ArrivalOutcome::AlreadyDone:
        common::respondJson(exchange, statusOk, m_lastBarrierAnswer);
        return;
    case ArrivalOutcome::Waiting:
        break;
    }
    std::erase_if(m_waitingArrivals,
                  [&arrival](const WaitingArrival &waiting) { return waiting.incarnation == arrival.incarnation; });
    m_waitingArrivals.push_back({arrival.incarnation, exchange});
    completeBarrierIfAllArrived();
}

void EngineService::scheduleBeginStep(milliseconds delay)
{
    common::callAfter(m_context, delay, [this, epoch = m_epoch] { beginStep(epoch); });
}

void EngineService::beginStep(std::uint64_t epoch)
{
    {
        const std::lock_guard lock(m_mutex);
        if (epoch != m_epoch || m_phase != Phase::BetweenSteps) {
            return;
        }
        const Step next = m_settings.holdsRankZero() ? m_barrier.step() : m_currentStep + 1;
        if (isStalled() || (!m_joining && !m_maps.mayBegin(next))) {
            scheduleBeginStep(beginRetryDelay);
            return;
        }
        m_phase = Phase::AtBarrier;
        if (m_settings.holdsRankZero() || !m_joining) {
            m_maps.beginStep(next);
            m_currentStep = next;
        }
        if (m_settings.holdsRankZero()) {
            m_joining = false;
            m_barrier.arrive(arrival());
            completeBarrierIfAllArrived();
            return;
        }
    }
    sendArrival(epoch);
}

BarrierArrival EngineService::arrival() const
{
    BarrierArrival arrival;
    arrival.step = m_joining ? std::nullopt : std::optional(m_currentStep);
    arrival.generation = m_maps.generation();
    arrival.incarnation = m_incarnation;
    arrival.rankZeroIncarnation = m_rankZeroIncarnation;
    arrival.ranks = m_settings.ranks;
    arrival.mapVersion = m_maps.activeVersion();
    return arrival;
}

void EngineService::sendArrival(std::uint64_t epoch)
{
    http::HttpClientRequest request;
    {
        const std::lock_guard lock(m_mutex);
        if (epoch != m_epoch) {
            return;
        }
        request.body = toJson(arrival()).dump();
    }
    request.method = "POST";
    request.url = "http://" + m_settings.rankZero + "/barrier";
    request.timeout = barrierTimeout;
    m_client.fetch(std::move(request), [this, epoch](const core::Result<http::HttpResponse> &result) {
        handleBarrierAnswer(epoch, result);
    });
}

void EngineService::handleBarrierAnswer(std::uint64_t epoch, const core::Result<http::HttpResponse> &result)
{
    const std::lock_guard lock(m_mutex);
    if (epoch != m_epoch) {
        return;
    }
    const bool isOkAnswer = core::isOk(result) && core::valueOf(result).status == statusOk;
    const Json answer = isOkAnswer ? Json::parse(core::valueOf(result).body, nullptr, false) : Json();
    if (!answer.is_object()) {
        // Resending is safe: the barrier keeps one arrival per rank and recognizes the last step it completed.
        common::callAfter(m_context, barrierRetryDelay, [this, epoch] { sendArrival(epoch); });
        return;
    }
    m_currentStep = answer.at("step").get<Step>();
    m_rankZeroIncarnation = answer.at("incarnation").get<Incarnation>();
    m_joining = false;
    scheduleStepEnd(milliseconds(answer.at("stepMs").get<std::int64_t>()));
}

void EngineService::completeBarrierIfAllArrived()
{
    if (!m_barrier.isComplete()) {
        return;
    }
    const milliseconds duration = stepDuration(m_barrier.step());
    m_barrier.completeStep(now());
    m_lastBarrierAnswer = {{"step", m_currentStep}, {"incarnation", m_incarnation}, {"stepMs", duration.count()}};
    for (const auto &waiting : m_waitingArrivals) {
        common::respondJson(waiting.exchange, statusOk, m_lastBarrierAnswer);
    }
    m_waitingArrivals.clear();
    scheduleStepEnd(duration);
}

milliseconds EngineService::stepDuration(Step step) const
{
    const double factor = stepTimeFactor(m_settings, m_maps.activeMap(), expertCounts(m_settings, step));
    return std::chrono::duration_cast<milliseconds>(m_settings.stepTime * factor);
}

void EngineService::scheduleStepEnd(milliseconds duration)
{
    m_phase = Phase::InStep;
    const auto slowed = std::chrono::duration_cast<milliseconds>(duration * m_slowFactor);
    common::callAfter(m_context, slowed, [this, epoch = m_epoch] { finishStep(epoch); });
}

void EngineService::finishStep(std::uint64_t epoch)
{
    {
        const std::lock_guard lock(m_mutex);
        if (epoch != m_epoch) {
            return;
        }
        if (isStalled()) {
            common::callAfter(m_context, beginRetryDelay, [this, epoch] { finishStep(epoch); });
            return;
        }
        std::vector<EmittedToken> tokens;
        std::vector<CacheEvent> events;
        for (auto &batch : m_batches) {
            batch.runStep(tokens, events);
        }
        m_answers.write(tokens);
        m_reports.recordCacheEvents(std::move(events), now());
        m_reports.recordLoad(m_batches, now());
        m_phase = Phase::BetweenSteps;
    }
    beginStep(epoch);
}

} // namespace lycheelanding::standins::engine

#include "lycheelanding/forwarding/forwardedexchange.h"

#include "lycheelanding/core/stablehash.h"
#include "lycheelanding/forwarding/refusal.h"

#include <algorithm>
#include <utility>

namespace lycheelanding::forwarding {

namespace {

using namespace decisions::attempts;

/// The answer leaves this much before the caller stops waiting, so that it still arrives: the time of a message to the
/// caller and of the entry's own turn.
constexpr std::chrono::milliseconds answerMargin{20};
/// Longest wait for a connection to open; a data centre away it takes about a millisecond, a lost first packet is sent
/// again after one second.
constexpr std::chrono::milliseconds longestConnect{1000};
/// Part of the time left that a connection may take to open, so that another backend server can still be asked.
constexpr int connectPart = 3;

core::Error lostError(const core::Error &error)
{
    return {core::ErrorKind::BackendServerLost, error.detail};
}

} // namespace

ForwardedExchange::ForwardedExchange(const ForwardingParts &parts, RouteTablePointer routes,
                                     http::HttpExchangePointer exchange, std::function<void()> onOver)
    : m_parts(parts), m_routes(std::move(routes)), m_exchange(std::move(exchange)), m_onOver(std::move(onOver)),
      m_answer(m_exchange), m_arrival(m_clock.now()), m_log(parts.log, m_arrival), m_timer(parts.context),
      m_retryTimer(parts.context)
{ }

core::Result<const Route *> ForwardedExchange::findRoute()
{
    const auto &request = m_exchange->request();
    if (!m_routes) {
        return core::Error{core::ErrorKind::StoreUnavailable, "no configuration has been read yet"};
    }
    const Route *route = m_routes->find(request.headers.find("Host").value_or(std::string()), request.path());
    if (route == nullptr) {
        return core::Error{core::ErrorKind::UnknownRoute, "no route has the host and path"};
    }
    const auto organisation
        = m_routes->organisationFor(*route, request.headers.find(m_parts.names.key).value_or(std::string()));
    if (!core::isOk(organisation)) {
        return core::errorOf(organisation);
    }
    m_organisation = core::valueOf(organisation);
    return route;
}

void ForwardedExchange::start()
{
    const auto &request = m_exchange->request();
    m_parts.metrics.increment(report::Counter::RequestsReceived);
    m_attemptName = request.headers.find(m_parts.names.attempt).value_or(std::string());
    m_log.setName(m_attemptName);
    const auto route = findRoute();
    if (!core::isOk(route)) {
        answerError(core::errorOf(route));
        return;
    }
    m_route = core::valueOf(route);
    m_service = m_routes->serviceFor(*m_route, core::stableHash(m_attemptName));
    m_tokens = tokenFiguresOf(request.headers, m_parts.names);
    const auto timeLeft = millisecondsIn(request.headers, m_parts.names.timeLeft);
    m_deadline = m_arrival + m_route->timeout;
    if (timeLeft) {
        m_deadline = std::min(m_deadline, m_arrival + std::max(*timeLeft - answerMargin, answerMargin));
    }
    m_limits = waitLimitsOf(*m_route, m_arrival, m_deadline);
    m_priority = m_routes->priorityFor(*m_route, m_organisation);
    const bool isResumable = m_route->kind == RouteKind::Stream && m_route->isResumable;
    m_attempts.emplace(RequestTraits{m_route->isIdempotent(), m_deadline, isResumable});
    if (m_route->kind == RouteKind::Stream) {
        m_answer.setStream(isResumable);
    }
    if (isResumable) {
        m_parts.streams.emplace(this, weak_from_this());
    }
    m_exchange->onCallerGone([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onCallerGone();
        }
    });
    startTimer();
    startAttempt();
}

void ForwardedExchange::startTimer()
{
    m_timer.expires_at(m_deadline);
    m_timer.async_wait([self = shared_from_this()](const auto &error) {
        if (!error) {
            self->onTimeout();
        }
    });
}

BackendRequest ForwardedExchange::backendRequest() const
{
    BackendRequest request;
    request.service = m_service;
    request.expectedTokens = std::max<std::uint64_t>(m_tokens.prompt + m_tokens.likelyAnswer, 1);
    request.isIdempotent = m_route->isIdempotent();
    request.longestPause = m_route->targetGap;
    request.acceptsCrowded = now() >= m_limits.crowdedFrom;
    request.tried = m_tried;
    return request;
}

void ForwardedExchange::startAttempt()
{
    if (m_parts.waiting.hasWaiting(m_service, m_priority, now()) || !tryAgain()) {
        m_parts.waiting.add(shared_from_this());
    }
}

bool ForwardedExchange::tryAgain()
{
    m_parts.lastAttempt = m_parts.lastAttempt.next();
    const auto chosen = m_parts.backends.chooseAndSend(backendRequest(), m_parts.lastAttempt, now());
    if (!core::isOk(chosen)) {
        return false;
    }
    begin(core::valueOf(chosen));
    return true;
}

void ForwardedExchange::stopWaiting()
{
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(now() - m_limits.since);
    carryOut(
        m_attempts->giveUp({core::ErrorKind::Overloaded,
                            "no backend server could take the request within " + std::to_string(waited.count()) + " ms",
                            retryAfterWaiting(waited, m_attemptName)}));
}

void ForwardedExchange::begin(const ChosenBackend &chosen)
{
    m_attempt.emplace();
    m_attempt->number = m_attempts->attemptStarted();
    m_attempt->id = m_parts.lastAttempt;
    m_attempt->backend = chosen;
    m_attempt->startedAt = now();
    m_answer.restart();
    m_tried.push_back(m_attempt->backend.id);
    m_attempt->connection = m_parts.pool.take(m_attempt->backend.endpoint);
    if (m_attempt->connection) {
        carryOut(m_attempts->readyToSend(m_attempt->number));
        return;
    }
    openConnection();
}

void ForwardedExchange::openConnection()
{
    m_parts.metrics.increment(report::Counter::ConnectionsOpened);
    const auto timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - now());
    m_attempt->connection
        = std::make_shared<http::ClientConnection>(m_parts.context.get_executor(), m_attempt->backend.endpoint);
    m_attempt->connection->connect(std::min(longestConnect, timeLeft / connectPart),
                                   [self = shared_from_this(), attempt = m_attempt->number](
                                       const core::Status &status) { self->connected(attempt, status); });
}

void ForwardedExchange::connected(AttemptNumber attempt, const core::Status &status)
{
    if (!isCurrent(attempt)) {
        return;
    }
    if (!core::isOk(status)) {
        endAttempt(Outcome::Failed);
        carryOut(m_attempts->notSent(attempt, core::errorOf(status), now()));
        return;
    }
    carryOut(m_attempts->readyToSend(attempt));
}

void ForwardedExchange::carryOut(const SendRequest &)
{
    if (m_tried.size() == 1) {
        m_parts.retries.firstAttemptSent(m_service);
    }
    PassedOn passedOn;
    passedOn.organisation = m_organisation;
    passedOn.expectedBackend = m_attempt->backend.id.text();
    passedOn.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - now());
    passedOn.lastEvent = m_answer.lastEvent();
    const auto &request = m_exchange->request();
    m_attempt->connection->send(passedOnRequest(request, passedOn, m_parts.names), request.method == "HEAD",
                                answerHandlers(m_attempt->number));
}

http::AnswerHandlers ForwardedExchange::answerHandlers(AttemptNumber attempt)
{
    const auto self = shared_from_this();
    http::AnswerHandlers handlers;
    handlers.isOwn
        = [self](const http::AnswerHead &head) { return isAnswerTo(head, self->m_parts.names, self->m_attemptName); };
    handlers.onHead = [self, attempt](http::AnswerHead head) { self->onHead(attempt, std::move(head)); };
    handlers.onBody = [self, attempt](std::string_view bytes) { self->onBody(attempt, bytes); };
    handlers.onEnd = [self, attempt](bool isReusable) { self->onEnd(attempt, isReusable); };
    handlers.onFailed = [self, attempt](const core::Error &error) { self->onFailed(attempt, error); };
    return handlers;
}

void ForwardedExchange::onHead(AttemptNumber attempt, http::AnswerHead head)
{
    if (!isCurrent(attempt)) {
        return;
    }
    m_attempt->answerClass = classifyAnswer(head, m_parts.names);
    m_attempt->head = std::move(head);
    if (m_attempt->answerClass == AnswerClass::Own && !m_answer.canFollow(m_attempt->head)) {
        m_attempt->answerClass = AnswerClass::Broken;
    }
}

void ForwardedExchange::onBody(AttemptNumber attempt, std::string_view bytes)
{
    if (!isCurrent(attempt)) {
        return;
    }
    if (m_attempt->answerClass != AnswerClass::Own) {
        m_answer.hold(bytes);
        return;
    }
    noteEvent();
    m_answer.take(m_attempt->head, bytes);
    if (m_answer.hasBegun()) {
        carryOut(m_attempts->answerStarted(attempt));
    }
    if (m_answer.isStuck()) {
        onFailed(attempt, {core::ErrorKind::Cancelled, "the caller does not read its answer"});
    }
}

void ForwardedExchange::noteEvent()
{
    const auto time = now();
    const auto pause = m_times.arrived(time);
    if (!m_attempt->hasEvent) {
        m_attempt->hasEvent = true;
        m_parts.backends.firstEvent(m_attempt->id, m_tokens.prompt, time);
    } else if (pause && m_route->kind == RouteKind::Stream) {
        m_parts.backends.nextEvent(m_attempt->id, *pause, time);
    }
}

void ForwardedExchange::onEnd(AttemptNumber attempt, bool isReusable)
{
    if (!isCurrent(attempt)) {
        return;
    }
    if (isReusable && m_parts.backends.isUsed(m_attempt->backend.endpoint)) {
        m_parts.pool.keep(m_attempt->connection);
        m_attempt->connection.reset();
    }
    const std::string place = m_attempt->backend.id.text();
    switch (m_attempt->answerClass) {
    case AnswerClass::Own:
        finishAnswer();
        return;
    case AnswerClass::Failure:
        m_failure = m_answer.held(m_attempt->head);
        endAttempt(Outcome::Answered);
        carryOut(
            m_attempts->lost(attempt, {core::ErrorKind::BackendServerFailed, place + " failed the request"}, now()));
        return;
    case AnswerClass::NotRun:
        endAttempt(Outcome::Refused);
        carryOut(
            m_attempts->refused(attempt, {core::ErrorKind::Overloaded, place + " has not run the request"}, now()));
        return;
    case AnswerClass::Misdirected:
        endAttempt(Outcome::Leaving);
        carryOut(m_attempts->refused(
            attempt, {core::ErrorKind::NoBackendServer, "another backend server has the address of " + place}, now()));
        return;
    case AnswerClass::Broken:
        endAttempt(Outcome::Failed);
        carryOut(m_attempts->lost(
            attempt, {core::ErrorKind::BackendServerFailed, place + " gave an answer that cannot be passed on"},
            now()));
        return;
    }
}

void ForwardedExchange::finishAnswer()
{
    const int status = m_attempt->head.status;
    m_answer.finish(m_attempt->head);
    const auto attempt = m_attempt->number;
    endAttempt(Outcome::Answered);
    m_parts.metrics.increment(report::Counter::RequestsAnswered);
    m_parts.metrics.record(report::Latency::WholeAnswer, now() - m_arrival, now());
    carryOut(m_attempts->answered(attempt));
    over("answered", status);
}

void ForwardedExchange::onFailed(AttemptNumber attempt, const core::Error &error)
{
    if (!isCurrent(attempt)) {
        return;
    }
    endAttempt(Outcome::Failed);
    carryOut(m_attempts->lost(attempt, lostError(error), now()));
}

void ForwardedExchange::endSilentAttempt()
{
    if (!m_attempt || !m_attempt->connection || !m_attempt->connection->isOpen()) {
        return;
    }
    const auto silence = now() - std::max(m_times.last().value_or(m_arrival), m_attempt->startedAt);
    const bool isVmSilent = m_parts.backends.isSilent(m_attempt->backend.id, now());
    // Without an event yet it may still wait for its place at the engine.
    const bool isLost = isVmSilent ? silence >= m_limits.silentVm : m_answer.hasBegun() && silence >= m_limits.silence;
    if (!isLost) {
        return;
    }
    const auto attempt = m_attempt->number;
    endAttempt(Outcome::Failed);
    carryOut(m_attempts->lost(
        attempt,
        {core::ErrorKind::BackendServerLost,
         "no event for " + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(silence).count())
             + " ms" + (isVmSilent ? ", and no news of its VM" : "")},
        now()));
}

void ForwardedExchange::onTimeout()
{
    if (m_isOver) {
        return;
    }
    carryOut(m_attempts->tick(std::max(now(), m_deadline)));
    if (!m_isOver && m_answer.hasBegun()) {
        carryOut(BreakAnswer{{core::ErrorKind::DeadlineExceeded, "the time of the request has passed"}});
    }
}

void ForwardedExchange::onCallerGone()
{
    if (m_isOver) {
        return;
    }
    m_parts.metrics.increment(report::Counter::RequestsCancelled);
    carryOut(m_attempts->callerGone());
    over("callerGone", 0);
}

void ForwardedExchange::carryOut(const AttemptActions &actions)
{
    for (const auto &action : actions) {
        std::visit([this](const auto &each) { carryOut(each); }, action);
    }
}

void ForwardedExchange::carryOut(const RetryPossible &action)
{
    decisions::retry::FailedAttempt failed;
    failed.attempt = static_cast<std::uint32_t>(m_tried.size());
    failed.error = action.error;
    failed.ran = action.ran;
    failed.idempotent = m_route->isIdempotent();
    failed.deadline = m_deadline;
    const bool canGoOn = !m_answer.hasBegun() || m_answer.lastEvent();
    if (m_tried.size() >= m_route->maxAttempts || !canGoOn) {
        carryOut(m_attempts->giveUp(action.error));
        return;
    }
    if (m_answer.hasBegun()) {
        m_limits = waitLimitsOf(*m_route, now(), m_deadline);
    }
    const auto decision = m_parts.retries.attemptFailed(m_service, failed, now());
    if (const auto *giveUp = std::get_if<decisions::retry::GiveUp>(&decision)) {
        m_parts.metrics.increment(report::Counter::RetriesDeniedByBudget);
        carryOut(m_attempts->giveUp(giveUp->error));
        return;
    }
    m_parts.metrics.increment(report::Counter::RetriesSent);
    m_log.writeRetry(action.error, m_tried.size());
    m_retryTimer.expires_after(std::get<decisions::retry::RetryAfter>(decision).delay);
    m_retryTimer.async_wait([self = shared_from_this()](const auto &error) {
        if (!error && !self->m_isOver) {
            self->startAttempt();
        }
    });
}

void ForwardedExchange::carryOut(const CancelAttempt &action)
{
    if (isCurrent(action.attempt)) {
        // Backend servers end a request when its connection closes.
        endAttempt(Outcome::Cancelled);
    }
}

void ForwardedExchange::carryOut(const AnswerError &action)
{
    if (m_failure && action.ran != core::Ran::No) {
        const int status = m_failure->status;
        m_exchange->respond(std::move(*m_failure));
        over("failedByBackend", status);
        return;
    }
    answerError(action.error);
}

void ForwardedExchange::carryOut(const BreakAnswer &action)
{
    endAttempt(Outcome::Cancelled);
    m_exchange->abort();
    m_parts.metrics.increment(report::Counter::AnswersBroken);
    m_log.writeBroken(action.error);
    over("broken", 0);
}

void ForwardedExchange::carryOut(const RequestDone &) { }

void ForwardedExchange::endAttempt(Outcome outcome)
{
    if (!m_attempt) {
        return;
    }
    m_parts.backends.ended(m_attempt->id, outcome, now());
    if (m_attempt->connection) {
        m_attempt->connection->close();
    }
    m_attempt.reset();
}

void ForwardedExchange::answerError(const core::Error &error)
{
    m_parts.metrics.countRefusal(error.kind);
    m_log.writeRefused(error, m_tried.size(), m_routes ? m_routes->version() : core::ConfigurationVersion());
    m_exchange->respond(refusal(m_route != nullptr ? withRetryAfter(error, m_deadline - now()) : error));
    over("refused", core::answerOf(error.kind).httpStatus);
}

void ForwardedExchange::over(std::string_view outcome, int status)
{
    if (std::exchange(m_isOver, true)) {
        return;
    }
    m_timer.cancel();
    m_retryTimer.cancel();
    endAttempt(Outcome::Cancelled);
    m_parts.streams.erase(this);
    m_log.writeOver(
        {outcome, status, m_service, m_tried.empty() ? std::string() : m_tried.back().text(), m_tried.size()}, m_times,
        now());
    if (const auto onOver = std::exchange(m_onOver, nullptr)) {
        onOver();
    }
}

} // namespace lycheelanding::forwarding

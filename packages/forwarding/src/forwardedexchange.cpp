#include "lycheelanding/forwarding/forwardedexchange.h"

#include "lycheelanding/core/stablehash.h"
#include "lycheelanding/forwarding/refusal.h"

#include <algorithm>
#include <utility>

namespace lycheelanding::forwarding {

namespace {

using namespace decisions::attempts;

/// The answer is sent this long before the caller's timeout, so that it arrives in time: the time of a message to the
/// caller plus the processing time of the entry.
constexpr std::chrono::milliseconds answerMargin{20};
/// Maximum timeout for opening a connection: to another data centre it takes about a millisecond, and a lost first
/// packet is retransmitted only after one second.
constexpr std::chrono::milliseconds maxConnectTimeout{1000};
/// Opening a connection may take the remaining time divided by this, so that another backend server can still be tried.
constexpr int connectTimeoutDivisor = 3;

/// A backend server that crashes under a prompt may still send the first part of an answer to it.
constexpr std::size_t minPartsOfProgress = 2;

core::Error backendLostError(const core::Error &error)
{
    return {core::ErrorKind::BackendServerLost, error.detail};
}

} // namespace

ForwardedExchange::ForwardedExchange(const ForwardingResources &resources, RouteTablePointer routes,
                                     http::HttpExchangePointer exchange, std::function<void()> onFinished)
    : m_resources(resources), m_routes(std::move(routes)), m_exchange(std::move(exchange)),
      m_onFinished(std::move(onFinished)), m_answer(m_exchange), m_arrival(m_clock.now()),
      m_log(resources.log, m_arrival), m_timer(resources.context), m_retryTimer(resources.context)
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
        = m_routes->organisationFor(*route, request.headers.find(m_resources.names.key).value_or(std::string()));
    if (!core::isOk(organisation)) {
        return core::errorOf(organisation);
    }
    m_organisation = core::valueOf(organisation);
    return route;
}

void ForwardedExchange::start()
{
    const auto &request = m_exchange->request();
    m_resources.metrics.increment(report::Counter::RequestsReceived);
    m_attemptName = request.headers.find(m_resources.names.attempt).value_or(std::string());
    m_log.setName(m_attemptName);
    const auto route = findRoute();
    if (!core::isOk(route)) {
        answerError(core::errorOf(route));
        return;
    }
    m_route = core::valueOf(route);
    m_service = m_routes->serviceFor(*m_route, core::stableHash(m_attemptName));
    m_tokens = tokenCountsOf(request.headers, m_resources.names);
    m_promptParts = sharedPromptPartsOf(request.headers, m_resources.names);
    const auto timeLeft = millisecondsIn(request.headers, m_resources.names.timeLeft);
    m_deadline = m_arrival + m_route->timeout;
    if (timeLeft) {
        const auto callerDeadline = m_arrival + std::max(*timeLeft - answerMargin, answerMargin);
        if (callerDeadline < m_deadline) {
            m_deadline = callerDeadline;
            m_deadlineSource = TimeLimitSource::Caller;
        }
    }
    m_limits = waitLimitsOf(*m_route, m_arrival, m_deadline);
    m_priority = m_routes->priorityFor(*m_route, m_organisation);
    const bool isResumable = m_route->kind == RouteKind::Stream && m_route->isResumable;
    m_attempts.emplace(RequestTraits{m_route->isIdempotent(), m_deadline, isResumable});
    if (m_route->kind == RouteKind::Stream) {
        m_answer.setStream(isResumable);
    }
    if (isResumable) {
        m_resources.resumableStreams.emplace(this, weak_from_this());
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

BackendRequirements ForwardedExchange::backendRequirements() const
{
    BackendRequirements request;
    request.service = m_service;
    request.expectedTokens = std::max<std::uint64_t>(m_tokens.prompt + m_tokens.expectedAnswer, 1);
    request.isIdempotent = m_route->isIdempotent();
    request.maxEventInterval = m_route->targetEventInterval;
    request.acceptsSaturated = now() >= m_limits.acceptsSaturatedFrom;
    request.tried = m_tried;
    return request;
}

std::optional<core::Error> ForwardedExchange::heldPromptError() const
{
    const auto holdTime = m_resources.prompts.holdTime(m_promptParts);
    if (!holdTime) {
        return std::nullopt;
    }
    return core::Error{core::ErrorKind::PromptHeld, "backend servers crashed under prompts with the same part",
                       std::chrono::duration_cast<std::chrono::milliseconds>(*holdTime)};
}

bool ForwardedExchange::giveUpHeldPrompt()
{
    const auto error = heldPromptError();
    if (error) {
        execute(m_attempts->giveUp(*error));
    }
    return error.has_value();
}

void ForwardedExchange::startAttempt()
{
    if (giveUpHeldPrompt()) {
        return;
    }
    if (m_resources.waiting.hasWaiting(m_service, m_priority, now()) || !trySend()) {
        m_resources.waiting.add(shared_from_this());
    }
}

std::optional<ReservedBackend> ForwardedExchange::reserveBackend(const BackendRequirements &request)
{
    m_resources.lastAttempt = m_resources.lastAttempt.next();
    const auto chosen = m_resources.backends.selectBackend(request, m_resources.lastAttempt, now());
    if (!core::isOk(chosen)) {
        return std::nullopt;
    }
    return ReservedBackend{m_resources.lastAttempt, core::valueOf(chosen)};
}

bool ForwardedExchange::trySend()
{
    if (giveUpHeldPrompt()) {
        return true;
    }
    const auto reserved = reserveBackend(backendRequirements());
    if (reserved) {
        beginAttempt(*reserved);
    }
    return reserved.has_value();
}

void ForwardedExchange::onWaitTimeout()
{
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(now() - m_limits.waitStart);
    execute(
        m_attempts->giveUp({core::ErrorKind::Overloaded,
                            "no backend server could take the request within " + std::to_string(waited.count()) + " ms",
                            retryAfterWaiting(waited, m_attemptName)}));
}

void ForwardedExchange::beginAttempt(const ReservedBackend &reserved)
{
    m_attempt.emplace();
    m_attempt->number = m_attempts->attemptStarted();
    m_attempt->id = reserved.attempt;
    m_attempt->backend = reserved.backend;
    m_attempt->startedAt = now();
    m_log.recordSent(m_attempt->startedAt);
    m_answer.restart();
    m_tried.push_back(m_attempt->backend.id);
    m_resources.prompts.requestSent(m_promptParts);
    m_attempt->connection = m_resources.pool.acquire(m_attempt->backend.endpoint);
    if (m_attempt->connection) {
        execute(m_attempts->readyToSend(m_attempt->number));
        return;
    }
    openConnection();
}

void ForwardedExchange::openConnection()
{
    m_resources.metrics.increment(report::Counter::ConnectionsOpened);
    const auto timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - now());
    m_attempt->connection
        = std::make_shared<http::ClientConnection>(m_resources.context.get_executor(), m_attempt->backend.endpoint);
    m_attempt->connection->connect(std::min(maxConnectTimeout, timeLeft / connectTimeoutDivisor),
                                   [self = shared_from_this(), attempt = m_attempt->number](
                                       const core::Status &status) { self->onConnected(attempt, status); });
}

void ForwardedExchange::onConnected(AttemptNumber attempt, const core::Status &status)
{
    if (!isCurrent(attempt)) {
        return;
    }
    if (!core::isOk(status)) {
        endAttempt(Outcome::Failed);
        execute(m_attempts->notSent(attempt, core::errorOf(status), now()));
        return;
    }
    execute(m_attempts->readyToSend(attempt));
}

void ForwardedExchange::execute(const SendRequest &)
{
    if (m_tried.size() == 1) {
        m_resources.retries.firstAttemptSent(m_service);
    }
    ForwardedFields forwardedFields;
    forwardedFields.organisation = m_organisation;
    forwardedFields.expectedBackend = m_attempt->backend.id.text();
    forwardedFields.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - now());
    forwardedFields.lastEvent = m_answer.lastEvent();
    const auto &request = m_exchange->request();
    m_attempt->connection->send(forwardedRequest(request, forwardedFields, m_resources.names), request.method == "HEAD",
                                answerHandlers(m_attempt->number));
}

http::AnswerHandlers ForwardedExchange::answerHandlers(AttemptNumber attempt)
{
    const auto self = shared_from_this();
    http::AnswerHandlers handlers;
    handlers.matchesRequest = [self](const http::AnswerHead &head) {
        return isAnswerTo(head, self->m_resources.names, self->m_attemptName);
    };
    handlers.expectsEventStream = m_route->kind == RouteKind::Stream;
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
    m_framing = head.framing;
    m_attempt->answerClass = classifyAnswer(head, m_resources.names);
    m_attempt->head = std::move(head);
    // A misdirected answer comes from another backend server.
    if (m_attempt->answerClass != AnswerClass::Misdirected && isLeaving(m_attempt->head, m_resources.names)) {
        m_resources.onLeaving(m_attempt->backend.id);
    }
    if (m_attempt->answerClass == AnswerClass::Valid && !m_answer.canContinueWith(m_attempt->head)) {
        m_attempt->answerClass = AnswerClass::Invalid;
    }
}

void ForwardedExchange::onBody(AttemptNumber attempt, std::string_view bytes)
{
    if (!isCurrent(attempt)) {
        return;
    }
    if (m_attempt->answerClass != AnswerClass::Valid) {
        m_answer.hold(bytes);
        return;
    }
    recordEvent();
    m_answer.append(m_attempt->head, bytes);
    recordProgress();
    if (m_answer.hasBegun()) {
        execute(m_attempts->answerStarted(attempt));
    }
    if (m_answer.isCallerTooSlow()) {
        execute(BreakAnswer{{core::ErrorKind::Cancelled, "the caller does not read its answer"}});
    }
}

void ForwardedExchange::recordEvent()
{
    const auto time = now();
    const auto interval = m_times.recordArrival(time);
    ++m_attempt->bodyParts;
    if (m_attempt->bodyParts == 1) {
        m_resources.backends.recordFirstEvent(m_attempt->id, m_tokens.prompt, time);
    } else if (interval && m_route->kind == RouteKind::Stream) {
        m_resources.backends.recordNextEvent(m_attempt->id, *interval, time);
    }
}

void ForwardedExchange::recordProgress()
{
    const auto parts = m_answer.eventCount().value_or(m_attempt->bodyParts);
    if (!m_attempt->hasProgressed && parts >= minPartsOfProgress) {
        m_attempt->hasProgressed = true;
        m_resources.prompts.answerProgressed(m_promptParts);
    }
}

void ForwardedExchange::onEnd(AttemptNumber attempt, bool isReusable)
{
    if (!isCurrent(attempt)) {
        return;
    }
    if (isReusable && m_resources.backends.isInUse(m_attempt->backend.endpoint)) {
        m_resources.pool.release(m_attempt->connection);
        m_attempt->connection.reset();
    }
    const auto error = errorOf(m_attempt->answerClass, m_attempt->backend.id.text());
    switch (m_attempt->answerClass) {
    case AnswerClass::Valid:
        finishAnswer();
        return;
    case AnswerClass::Failure:
        m_backendFailure = m_answer.heldResponse(m_attempt->head);
        endAttempt(Outcome::Answered);
        execute(m_attempts->lost(attempt, error, now()));
        return;
    case AnswerClass::NotRun:
        endAttempt(Outcome::Refused);
        execute(m_attempts->refused(attempt, error, now()));
        return;
    case AnswerClass::Misdirected:
        endAttempt(Outcome::Leaving);
        execute(m_attempts->refused(attempt, error, now()));
        return;
    case AnswerClass::Invalid:
        endAttempt(Outcome::Failed);
        execute(m_attempts->lost(attempt, error, now()));
        return;
    }
}

void ForwardedExchange::finishAnswer()
{
    const int status = m_attempt->head.status;
    m_resources.prompts.answerProgressed(m_promptParts);
    m_answer.finish(m_attempt->head);
    const auto attempt = m_attempt->number;
    endAttempt(Outcome::Answered);
    m_resources.metrics.increment(report::Counter::RequestsAnswered);
    m_resources.metrics.record(report::Latency::WholeAnswer, now() - m_arrival, now());
    execute(m_attempts->answered(attempt));
    finish("answered", status);
}

void ForwardedExchange::onFailed(AttemptNumber attempt, const core::Error &error)
{
    if (!isCurrent(attempt)) {
        return;
    }
    reportCrashSuspicion();
    endAttempt(Outcome::Failed);
    execute(m_attempts->lost(attempt, backendLostError(error), now()));
}

void ForwardedExchange::reportCrashSuspicion()
{
    const auto backend = m_resources.backends.find(m_attempt->backend.id);
    if (!backend || m_attempt->hasProgressed) {
        return;
    }
    // A backend server may start again under its id.
    const auto incarnation = backend->id.text() + "@" + std::to_string(backend->startedAtMs);
    m_resources.prompts.attemptLost({incarnation, m_attempt->backend.endpoint, m_promptParts});
}

void ForwardedExchange::cancelHeldAttempt()
{
    if (!m_attempt || m_attempt->bodyParts > 0) {
        return;
    }
    if (const auto error = heldPromptError()) {
        const auto attempt = m_attempt->number;
        endAttempt(Outcome::Cancelled);
        execute(m_attempts->lost(attempt, *error, now()));
    }
}

std::optional<ReservedBackend> ForwardedExchange::reserveReplacement(const core::Error &error,
                                                                     core::Duration inactivity)
{
    auto request = backendRequirements();
    request.inactivity = inactivity;
    auto failed = failedAttempt(error, core::Ran::Unknown);
    failed.expectedDuration = m_limits.resumeTime;
    const bool isAllowed = !retryDenial() && m_resources.retries.allowsRetry(m_service, failed, now());
    return isAllowed ? reserveBackend(request) : std::nullopt;
}

void ForwardedExchange::replaceInactiveAttempt()
{
    if (!m_attempt || !m_attempt->connection || !m_attempt->connection->isOpen()) {
        return;
    }
    const auto inactivity = now() - std::max(m_times.last().value_or(m_arrival), m_attempt->startedAt);
    const auto error = inactivityError(m_limits, inactivity, m_answer.hasBegun(),
                                       m_resources.backends.isUnresponsive(m_attempt->backend.id, now()));
    if (!error) {
        return;
    }
    // The replacement is reserved first, since the inactive attempt may still be the only one that can finish.
    m_replacement = reserveReplacement(*error, inactivity);
    if (!m_replacement) {
        return;
    }
    const auto attempt = m_attempt->number;
    endAttempt(Outcome::Failed);
    execute(m_attempts->lost(attempt, *error, now()));
    if (const auto unused = std::exchange(m_replacement, std::nullopt)) {
        m_resources.backends.recordAttemptEnd(unused->attempt, Outcome::Cancelled, now());
    }
}

void ForwardedExchange::onTimeout()
{
    if (m_isFinished) {
        return;
    }
    execute(m_attempts->tick(std::max(now(), m_deadline)));
    if (!m_isFinished && m_answer.hasBegun()) {
        execute(BreakAnswer{{core::ErrorKind::DeadlineExceeded, "the time of the request has passed"}});
    }
}

void ForwardedExchange::onCallerGone()
{
    if (m_isFinished) {
        return;
    }
    m_resources.metrics.increment(report::Counter::RequestsCancelled);
    execute(m_attempts->callerGone());
    finish("callerGone", 0);
}

void ForwardedExchange::execute(const AttemptActions &actions)
{
    for (const auto &action : actions) {
        std::visit([this](const auto &each) { execute(each); }, action);
    }
}

std::optional<RetryDenial> ForwardedExchange::retryDenial() const
{
    if (m_tried.size() >= m_route->maxAttempts) {
        return RetryDenial::AttemptsUsed;
    }
    if (heldPromptError()) {
        return RetryDenial::PromptHeld;
    }
    const bool canResume = !m_answer.hasBegun() || m_answer.lastEvent();
    return canResume ? std::nullopt : std::optional(RetryDenial::NotResumable);
}

decisions::retry::FailedAttempt ForwardedExchange::failedAttempt(const core::Error &error, core::Ran ran) const
{
    return {static_cast<std::uint32_t>(m_tried.size()), error, ran, m_route->isIdempotent(), m_deadline};
}

FailedAttemptLine ForwardedExchange::failedAttemptLine(const core::Error &error) const
{
    return {error, m_tried.back().text(), m_tried.size(), joinedText(m_promptParts)};
}

void ForwardedExchange::execute(const RetryPossible &action)
{
    if (const auto denial = retryDenial()) {
        m_log.writeRetryDenied(*denial, failedAttemptLine(action.error));
        execute(m_attempts->giveUp(action.error));
        return;
    }
    if (m_answer.hasBegun()) {
        m_limits = waitLimitsOf(*m_route, now(), m_deadline);
    }
    const auto decision = m_resources.retries.attemptFailed(m_service, failedAttempt(action.error, action.ran), now());
    if (const auto *giveUp = std::get_if<decisions::retry::GiveUp>(&decision)) {
        m_resources.metrics.increment(report::Counter::RetriesDeniedByBudget);
        m_log.writeRetryDenied(RetryDenial::Policy, failedAttemptLine(giveUp->error));
        execute(m_attempts->giveUp(giveUp->error));
        return;
    }
    m_resources.metrics.increment(report::Counter::RetriesSent);
    m_log.writeRetry(failedAttemptLine(action.error));
    if (const auto replacement = std::exchange(m_replacement, std::nullopt)) {
        // The backoff would only delay an attempt whose place is reserved.
        beginAttempt(*replacement);
        return;
    }
    m_retryTimer.expires_after(std::get<decisions::retry::RetryAfter>(decision).delay);
    m_retryTimer.async_wait([self = shared_from_this()](const auto &error) {
        if (!error && !self->m_isFinished) {
            self->startAttempt();
        }
    });
}

void ForwardedExchange::execute(const CancelAttempt &action)
{
    if (isCurrent(action.attempt)) {
        // Closing the connection makes the backend server cancel the request.
        endAttempt(Outcome::Cancelled);
    }
}

void ForwardedExchange::execute(const AnswerError &action)
{
    if (m_backendFailure && action.ran != core::Ran::No) {
        const int status = m_backendFailure->status;
        m_exchange->respond(std::move(*m_backendFailure));
        finish("failedByBackend", status);
        return;
    }
    answerError(action.error);
}

void ForwardedExchange::execute(const BreakAnswer &action)
{
    endAttempt(Outcome::Cancelled);
    m_exchange->abort();
    m_resources.metrics.increment(report::Counter::AnswersBroken);
    m_log.writeBroken({action.error, m_tried.size(), m_deadline - m_arrival, m_deadlineSource, m_routes->version()},
                      m_times, now());
    finish("broken", 0);
}

void ForwardedExchange::endAttempt(Outcome outcome)
{
    if (!m_attempt) {
        return;
    }
    m_resources.backends.recordAttemptEnd(m_attempt->id, outcome, now());
    if (m_attempt->connection) {
        m_attempt->connection->close();
    }
    m_attempt.reset();
}

void ForwardedExchange::answerError(const core::Error &error)
{
    m_resources.metrics.countRefusal(error.kind);
    m_log.writeRefused(error, m_tried.size(), m_routes ? m_routes->version() : core::ConfigurationVersion());
    m_exchange->respond(refusalResponse(m_route != nullptr ? withRetryAfter(error, m_deadline - now()) : error));
    finish("refused", core::answerOf(error.kind).httpStatus);
}

void ForwardedExchange::finish(std::string_view outcome, int status)
{
    if (std::exchange(m_isFinished, true)) {
        return;
    }
    m_timer.cancel();
    m_retryTimer.cancel();
    endAttempt(Outcome::Cancelled);
    m_resources.resumableStreams.erase(this);
    m_log.writeFinished({outcome, status, m_service, m_tried.empty() ? std::string() : m_tried.back().text(),
                         m_tried.size(), m_framing},
                        m_times, now());
    if (const auto onFinished = std::exchange(m_onFinished, nullptr)) {
        onFinished();
    }
}

} // namespace lycheelanding::forwarding

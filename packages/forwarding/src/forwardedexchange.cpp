#include "lycheelanding/forwarding/forwardedexchange.h"

#include "lycheelanding/forwarding/refusal.h"

#include <algorithm>
#include <utility>

namespace lycheelanding::forwarding {

namespace {

using namespace decisions::attempts;
using decisions::admission::QueueLevel;

/// Maximum timeout for opening a connection: to another data centre it takes about a millisecond, and a lost first
/// packet is retransmitted only after one second.
constexpr std::chrono::milliseconds maxConnectTimeout{1000};
/// Opening a connection may take the remaining time divided by this, so that another backend server can still be tried.
constexpr int connectTimeoutDivisor = 3;

} // namespace

ForwardedExchange::ForwardedExchange(const ForwardingResources &resources, RouteTablePointer routes,
                                     http::HttpExchangePointer exchange, std::function<void()> onFinished)
    : m_resources(resources), m_routes(std::move(routes)), m_exchange(std::move(exchange)),
      m_onFinished(std::move(onFinished)), m_answer(m_exchange), m_arrival(m_clock.now()),
      m_log(resources.log, m_arrival), m_timer(resources.context), m_retryTimer(resources.context)
{ }

void ForwardedExchange::start()
{
    const auto &request = m_exchange->request();
    m_resources.metrics.increment(report::Counter::RequestsReceived);
    m_attemptName = request.headers.find(m_resources.names.attempt).value_or(std::string());
    m_log.setName(m_attemptName);
    auto terms = requestTerms(request, m_attemptName, m_routes, m_resources.names, m_arrival);
    if (!core::isOk(terms)) {
        answerError(core::errorOf(terms));
        return;
    }
    m_terms = core::takeValue(std::move(terms));
    m_limits = waitLimitsOf(*m_terms.route, m_arrival, m_terms.deadline,
                            m_resources.backends.admitsInTimeOnly(m_terms.service));
    m_resources.queueForecast.requestArrived(m_terms.service, m_terms.priority, m_arrival);
    const bool isResumable = m_terms.route->kind == RouteKind::Stream && m_terms.route->isResumable;
    m_attempts.emplace(RequestTraits{m_terms.route->isIdempotent(), m_terms.deadline, isResumable});
    if (m_terms.route->kind == RouteKind::Stream) {
        m_answer.setStream(isResumable);
    }
    m_resources.running.emplace(this, weak_from_this());
    if (isResumable) {
        m_resources.resumableStreams.emplace(this, weak_from_this());
    }
    m_exchange->onCallerGone([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onCallerGone();
        }
    });
    startTimer();
    m_resources.backends.intake().requestArrived(m_terms.service, now());
    if (const auto error = m_resources.backends.limitError(m_terms.service, m_resources.waiting.count(m_terms.service),
                                                           m_limits, m_attemptName, now())) {
        execute(m_attempts->giveUp(*error));
        return;
    }
    startAttempt();
}

void ForwardedExchange::startTimer()
{
    m_timer.expires_at(m_terms.deadline);
    m_timer.async_wait([self = shared_from_this()](const auto &error) {
        if (!error) {
            self->onTimeout();
        }
    });
}

BackendRequirements ForwardedExchange::backendRequirements() const
{
    BackendRequirements request;
    request.service = m_terms.service;
    request.expectedTokens = std::max<std::uint64_t>(m_terms.tokens.prompt + m_terms.tokens.expectedAnswer, 1);
    request.isIdempotent = m_terms.route->isIdempotent();
    request.maxEventInterval = m_terms.route->targetEventInterval;
    request.acceptsSaturated = now() >= m_limits.acceptsSaturatedFrom;
    request.hasLittleTime = now() >= m_limits.hasLittleTimeFrom;
    request.tried = m_tried;
    return request;
}

bool ForwardedExchange::giveUpUnservable()
{
    if (!m_resources.drain.isSending()) {
        execute(m_attempts->giveUp({core::ErrorKind::Draining, "the entry stops and sends nothing any more"}));
        return true;
    }
    const auto held = m_resources.requestGuard.holdError(m_terms.features);
    const auto error
        = held ? held : m_resources.backends.unservableError(m_terms.service, m_limits, m_attemptName, now());
    if (error) {
        execute(m_attempts->giveUp(*error));
    }
    return error.has_value();
}

void ForwardedExchange::startAttempt()
{
    if (giveUpUnservable()) {
        return;
    }
    if (m_resources.waiting.hasWaiting(m_terms.service, m_terms.priority, now()) || !trySend()) {
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
    if (giveUpUnservable()) {
        return true;
    }
    const auto reserved = reserveBackend(backendRequirements());
    if (reserved) {
        beginAttempt(*reserved);
    }
    return reserved.has_value();
}

QueuedRequest ForwardedExchange::queuedRequest() const
{
    const bool isLimited = !m_answer.hasBegun()
        && m_resources.backends.hasInTimeLimit(m_terms.service, m_terms.route->targetEventInterval, now());
    const QueueLevel level{m_terms.service, m_terms.priority};
    const auto waiting = m_resources.waiting.count(level.service, level.priority);
    return {level, m_limits, m_terms.deadline, m_attemptName, waiting, isLimited};
}

core::TimePoint ForwardedExchange::waitDeadline() const
{
    return isOutOfReach(queuedRequest(), m_resources.queueForecast, now()) ? m_limits.lateSince : m_limits.waitDeadline;
}

void ForwardedExchange::onWaitTimeout()
{
    execute(m_attempts->giveUp(overloadError(queuedRequest(), m_resources.queueForecast, now())));
}

void ForwardedExchange::beginAttempt(const ReservedBackend &reserved)
{
    m_attempt.emplace(m_resources, m_attempts->attemptStarted(), reserved, now());
    m_resources.queueForecast.requestSent(m_terms.service, now());
    m_log.recordSent(m_attempt->startedAt());
    m_answer.restart();
    m_tried.push_back(m_attempt->backend());
    m_resources.requestGuard.requestSent(m_terms.features);
    if (m_attempt->takeIdleConnection()) {
        execute(m_attempts->readyToSend(m_attempt->number()));
        return;
    }
    const auto timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(m_terms.deadline - now());
    m_attempt->connect(std::min(maxConnectTimeout, timeLeft / connectTimeoutDivisor),
                       [self = shared_from_this(), attempt = m_attempt->number()](const core::Status &status) {
                           self->onConnected(attempt, status);
                       });
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
    if (!m_attempt->isBackendUsable(now())) {
        m_tried.pop_back();
        endAttempt(Outcome::Cancelled);
        m_attempts->withdrawn(attempt);
        startAttempt();
        return;
    }
    execute(m_attempts->readyToSend(attempt));
}

void ForwardedExchange::execute(const SendRequest &)
{
    if (m_tried.size() == 1) {
        m_resources.retries.firstAttemptSent(m_terms.service);
    }
    ForwardedFields forwardedFields;
    forwardedFields.organisation = m_terms.organisation;
    forwardedFields.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(m_terms.deadline - now());
    forwardedFields.lastEvent = m_answer.lastEvent();
    m_attempt->send(m_exchange, std::move(forwardedFields), answerHandlers(m_attempt->number()));
}

http::AnswerHandlers ForwardedExchange::answerHandlers(AttemptNumber attempt)
{
    const auto self = shared_from_this();
    http::AnswerHandlers handlers;
    handlers.expectsEventStream = m_terms.route->kind == RouteKind::Stream;
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
    m_attempt->recordHead(std::move(head));
    if (m_attempt->answerClass() == AnswerClass::Valid && !m_answer.canContinueWith(m_attempt->head())) {
        m_attempt->rejectAnswer();
    }
}

void ForwardedExchange::onBody(AttemptNumber attempt, std::string_view bytes)
{
    if (!isCurrent(attempt)) {
        return;
    }
    if (m_attempt->answerClass() != AnswerClass::Valid) {
        if (m_answer.hold(bytes)) {
            return;
        }
        if (m_attempt->answerClass() != AnswerClass::Failure || m_answer.hasBegun()) {
            // The rest of an answer that the caller does not get is of no use, and may have no end.
            onEnd(attempt, false);
            return;
        }
        m_attempt->acceptFailure();
    }
    if (m_answer.append(m_attempt->head(), bytes)) {
        recordEvent();
    }
    m_attempt->recordProgress(m_answer.eventCount().value_or(m_attempt->bodyParts()), m_terms.features);
    if (m_answer.hasBegun()) {
        execute(m_attempts->answerStarted(attempt));
    }
    if (m_answer.isCallerTooSlow()) {
        execute(BreakAnswer{{core::ErrorKind::Cancelled, "the caller does not read its answer"}});
    } else if (m_answer.isRepeatingItself()) {
        onFailed(attempt, {core::ErrorKind::AnswerMalformed, "the stream repeats itself"});
    }
}

void ForwardedExchange::recordEvent()
{
    const auto time = now();
    const auto interval = m_times.recordArrival(time);
    const bool isStream = m_terms.route->kind == RouteKind::Stream;
    m_attempt->recordBodyPart(m_terms.tokens.prompt, isStream ? interval : std::nullopt, time);
}

void ForwardedExchange::onEnd(AttemptNumber attempt, bool isReusable)
{
    if (!isCurrent(attempt)) {
        return;
    }
    if (isReusable) {
        m_attempt->releaseConnection();
    }
    const auto error = errorOf(m_attempt->answerClass(), m_attempt->backend().text());
    switch (m_attempt->answerClass()) {
    case AnswerClass::Valid:
        finishAnswer();
        return;
    case AnswerClass::Failure:
        m_backendFailure = m_answer.heldResponse(m_attempt->head());
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
    const int status = m_attempt->head().status;
    m_resources.requestGuard.answerCompleted(m_terms.features);
    m_answer.finish(m_attempt->head());
    const auto attempt = m_attempt->number();
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
    m_attempt->reportCrashSuspicion(m_terms.features);
    m_resources.metrics.increment(error.kind == core::ErrorKind::AnswerMalformed ? report::Counter::AnswersMalformed
                                                                                 : report::Counter::ConnectionsLost);
    endAttempt(Outcome::Failed);
    execute(m_attempts->lost(attempt, error, now()));
}

void ForwardedExchange::onTimeout()
{
    if (m_isFinished) {
        return;
    }
    execute(m_attempts->tick(std::max(now(), m_terms.deadline)));
    if (!m_isFinished && m_answer.hasBegun()) {
        execute(BreakAnswer{{core::ErrorKind::DeadlineExceeded, "the time of the request has passed"}});
    }
}

void ForwardedExchange::abandon()
{
    if (!m_isFinished) {
        execute(m_attempts->abandon("the entry ends before the answer is complete"));
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

void ForwardedExchange::execute(const CancelAttempt &action)
{
    if (isCurrent(action.attempt)) {
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
    m_log.writeBroken(
        {action.error, m_tried.size(), m_terms.deadline - m_arrival, m_terms.deadlineSource, m_routes->version()},
        m_times, now());
    finish("broken", 0);
}

void ForwardedExchange::endAttempt(Outcome outcome)
{
    if (!m_attempt) {
        return;
    }
    m_attempt->end(outcome, now());
    m_attempt.reset();
}

void ForwardedExchange::answerError(const core::Error &error)
{
    m_resources.metrics.countRefusal(error.kind);
    m_log.writeRefused(error, m_tried.size(), m_routes ? m_routes->version() : core::ConfigurationVersion());
    m_exchange->respond(
        refusalResponse(m_terms.route != nullptr ? withRetryAfter(error, m_terms.deadline - now()) : error));
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
    m_resources.running.erase(this);
    m_resources.resumableStreams.erase(this);
    m_log.writeFinished({outcome, status, m_terms.service, m_tried.empty() ? std::string() : m_tried.back().text(),
                         m_tried.size(), m_framing},
                        m_times, now());
    if (const auto onFinished = std::exchange(m_onFinished, nullptr)) {
        onFinished();
    }
}

} // namespace lycheelanding::forwarding

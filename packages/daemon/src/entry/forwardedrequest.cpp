#include "entry/forwardedrequest.h"

#include "shared/forwardedheaders.h"
#include "shared/randomnumbers.h"

#include <asio/bind_executor.hpp>

#include <algorithm>

namespace lycheelanding::daemon::entry {

namespace {

using decisions::routing::Outcome;
using namespace decisions::attempts;

/// Maximum time that an admitted request waits for capacity at the backend servers of its model or service.
constexpr std::chrono::milliseconds maxCapacityWait(1000);
constexpr std::chrono::milliseconds capacityCheckInterval(5);

decisions::admission::Priority priorityOf(std::uint8_t urgency)
{
    constexpr std::uint8_t normalUrgency = 3;
    if (urgency < normalUrgency) {
        return decisions::admission::Priority::High;
    }
    return urgency == normalUrgency ? decisions::admission::Priority::Normal : decisions::admission::Priority::Low;
}

} // namespace

ForwardedRequest::ForwardedRequest(EntryServices &services, http::HttpExchangePointer exchange,
                                   ClassifiedRequest request)
    : m_services(services), m_strand(asio::make_strand(services.context)), m_deadlineTimer(services.context),
      m_retryTimer(services.context), m_exchange(std::move(exchange)), m_request(std::move(request)),
      m_ticketId(shared::randomNumber()), m_startedAt(m_clock.now()), m_deadline(m_startedAt + m_request.timeout),
      m_tokenTimes(services.requestMetrics.maxTokenGap(m_request)), m_writer(m_exchange, services.maxUnsentBytes),
      m_requestAttempts({m_request.isIdempotent, m_deadline})
{
    if (!m_request.idempotencyKey.empty()) {
        m_claim.emplace(m_services.claims, m_request);
    }
}

void ForwardedRequest::start()
{
    m_services.requestMetrics.recordReceived();
    const auto self = shared_from_this();
    m_services.running.add(self);
    m_exchange->onCallerGone([weak = weak_from_this()] {
        if (const auto request = weak.lock()) {
            request->post([](auto &current) { current.onCallerGone(); });
        }
    });
    m_deadlineTimer.expires_at(m_deadline);
    m_deadlineTimer.async_wait(asio::bind_executor(m_strand, [self](const auto &error) {
        if (!error && !self->m_isEnded) {
            self->onDeadline();
        }
    }));
    const decisions::admission::RequestTicket ticket{m_ticketId, m_request.organisation, priorityOf(m_request.urgency),
                                                     m_deadline,
                                                     std::max<std::uint64_t>(m_request.route.expectedTokens, 1)};
    m_services.admission.offer(ticket, [self](const core::Result<decisions::admission::Admitted> &result) {
        self->post([result](auto &current) { current.onAdmissionDecision(result); });
    });
}

void ForwardedRequest::onAdmissionDecision(const core::Result<decisions::admission::Admitted> &result)
{
    if (!core::isOk(result)) {
        execute(m_requestAttempts.giveUp(core::errorOf(result)));
        return;
    }
    m_isAdmitted = true;
    m_isBeyondShare = core::valueOf(result).isBeyondShare;
    chooseBackend();
}

void ForwardedRequest::chooseBackend()
{
    if (!m_services.gate.isSending()) {
        giveUpStopping();
        return;
    }
    auto route = m_request.route;
    route.excluded = m_triedVms;
    const decisions::routing::AttemptId routingAttemptId(shared::randomNumber());
    const auto choice = m_services.backends.chooseBackend(route, routingAttemptId);
    if (!core::isOk(choice)) {
        waitForCapacity(core::errorOf(choice));
        return;
    }
    m_choice = core::valueOf(choice);
    m_routingAttemptId = routingAttemptId;
    if (m_claim) {
        claimThenSend();
    } else {
        send();
    }
}

void ForwardedRequest::waitForCapacity(const core::Error &error)
{
    const auto now = m_clock.now();
    if (!m_capacityDeadline) {
        m_capacityDeadline = std::min(now + maxCapacityWait, m_deadline);
    }
    // Admission control knows only the total capacity of all backend servers, so those of one model or service may be
    // saturated nevertheless.
    const bool isFull = error.kind == core::ErrorKind::Overloaded;
    if (!isFull || now + capacityCheckInterval >= *m_capacityDeadline) {
        execute(m_requestAttempts.giveUp(error));
        return;
    }
    chooseBackendAfter(capacityCheckInterval);
}

void ForwardedRequest::claimThenSend()
{
    const auto incarnation = m_services.links.incarnationOf(m_choice->vm);
    if (!incarnation) {
        endWithoutLink(m_requestAttempts.attemptStarted());
        return;
    }
    const decisions::idempotency::SideId side{m_choice->vm, *incarnation};
    if (m_claim->isGrantedFor(side)) {
        send();
        return;
    }
    const auto onDecision = [self = shared_from_this()](const ClaimDecision &decision) {
        self->post([decision](auto &current) { current.onClaimDecision(decision); });
    };
    m_claim->obtain(side, m_exchange->request(), m_clock.wallNow(), onDecision);
}

void ForwardedRequest::onClaimDecision(const ClaimDecision &decision)
{
    const auto refused = m_claim->applyDecision(decision);
    if (!refused) {
        send();
        return;
    }
    endAttempt(Outcome::Cancelled);
    if (refused->error.kind != core::ErrorKind::AlreadyClaimed || !refused->holder || m_claim->holder()) {
        execute(m_requestAttempts.giveUp(refused->error));
        return;
    }
    if (!refused->holder->isSameRequest) {
        execute(m_requestAttempts.giveUp(
            {core::ErrorKind::AlreadyClaimed, "the idempotency key was used for another request"}));
        return;
    }
    queryHolder(*refused->holder);
}

void ForwardedRequest::queryHolder(const decisions::idempotency::Holder &holder)
{
    m_claim->setHolder(holder);
    // The earlier attempt may have run, so the query to its holder counts as an attempt that may have run.
    const auto attempt = m_requestAttempts.attemptStarted();
    if (!openAttempt(holder.side.vm, attempt, true)) {
        execute(m_requestAttempts.notSent(
            attempt, {core::ErrorKind::AlreadyClaimed, "the request was sent before; its answer cannot be had"},
            m_clock.now()));
        return;
    }
    execute(m_requestAttempts.readyToSend(attempt));
}

bool ForwardedRequest::openAttempt(const core::VmId &vm, AttemptNumber number, bool isHolderQuery)
{
    const auto link = m_services.links.find(vm);
    if (!link) {
        return false;
    }
    const auto key = m_services.requests.add(shared_from_this(), link);
    m_attempt = Attempt{number, key, link, m_clock.now(), false, isHolderQuery};
    m_writer.restart(m_attempt->key);
    return true;
}

void ForwardedRequest::send()
{
    m_triedVms.push_back(m_choice->vm);
    const auto attempt = m_requestAttempts.attemptStarted();
    if (!openAttempt(m_choice->vm, attempt, false)) {
        endWithoutLink(attempt);
        return;
    }
    if (m_triedVms.size() == 1) {
        m_services.retries.firstAttemptSent();
    }
    execute(m_requestAttempts.readyToSend(attempt));
}

void ForwardedRequest::endWithoutLink(AttemptNumber attempt)
{
    endAttempt(Outcome::Refused);
    execute(m_requestAttempts.notSent(
        attempt, {core::ErrorKind::NoBackendServer, "no connection to " + m_choice->vm.text()}, m_clock.now()));
}

void ForwardedRequest::execute(const SendRequest &)
{
    const auto version = m_services.configuration.version();
    if (!m_attempt->isHolderQuery) {
        m_attempt->link->send(wire::makeFrame(startMessage(), version));
        return;
    }
    m_attempt->link->send(wire::makeFrame(wire::KeptAnswerQuery{m_attempt->key, m_claim->holderReference()}, version));
}

wire::RequestStart ForwardedRequest::startMessage() const
{
    const auto &request = m_exchange->request();
    const auto timeLeft = std::chrono::ceil<std::chrono::milliseconds>(m_deadline - m_clock.now());
    wire::RequestStart message;
    message.key = m_attempt->key;
    message.organisation = m_request.organisation;
    message.isIdempotent = m_request.isIdempotent;
    if (m_claim) {
        message.claim = m_claim->reference();
    }
    message.timeoutMs = static_cast<std::uint32_t>(std::max<std::int64_t>(timeLeft.count(), 1));
    message.urgency = m_isBeyondShare ? urgencyBeyondShare(m_request.urgency) : m_request.urgency;
    if (!m_request.route.model.isEmpty()) {
        message.rank = m_choice->rank.number();
    }
    message.method = request.method;
    message.target = request.target;
    message.headers = shared::forwardedHeaders(request.headers);
    if (m_isBeyondShare) {
        message.headers = shared::withUrgency(message.headers, message.urgency);
    }
    message.body = request.body;
    return message;
}

void ForwardedRequest::stopSending()
{
    post([](auto &current) {
        if (!current.m_attempt) {
            current.giveUpStopping();
        }
    });
}

void ForwardedRequest::giveUpStopping()
{
    endAttempt(Outcome::Cancelled);
    execute(m_requestAttempts.giveUp({core::ErrorKind::Draining, "the entry stops and sends nothing any more"}));
}

void ForwardedRequest::abandon()
{
    post([](auto &current) {
        current.endAttempt(Outcome::Cancelled);
        current.execute(current.m_requestAttempts.abandon("the entry ends before the answer is complete"));
    });
}

void ForwardedRequest::execute(const AttemptActions &actions)
{
    for (const auto &action : actions) {
        std::visit([this](const auto &each) { execute(each); }, action);
    }
}

void ForwardedRequest::execute(const RetryPossible &action)
{
    decisions::retry::FailedAttempt failed;
    failed.attempt = std::max<std::uint32_t>(static_cast<std::uint32_t>(m_triedVms.size()), 1);
    failed.error = action.error;
    failed.ran = action.ran;
    failed.isIdempotent = m_request.isIdempotent;
    failed.deadline = m_deadline;
    const auto decision = m_services.retries.attemptFailed(failed);
    if (const auto *giveUp = std::get_if<decisions::retry::GiveUp>(&decision)) {
        execute(m_requestAttempts.giveUp(giveUp->error));
        return;
    }
    m_services.requestMetrics.recordRetry();
    chooseBackendAfter(std::get<decisions::retry::RetryAfter>(decision).delay);
}

void ForwardedRequest::execute(const CancelAttempt &action)
{
    if (m_attempt && m_attempt->number == action.attempt) {
        endAttempt(Outcome::Cancelled);
    }
}

void ForwardedRequest::execute(const AnswerError &action)
{
    m_writer.fail(action.error);
    endWithError(RequestEndKind::Refused, action.error.kind);
}

void ForwardedRequest::execute(const BreakAnswer &action)
{
    m_writer.fail(action.error);
    endWithError(RequestEndKind::Aborted, action.error.kind);
}

void ForwardedRequest::execute(const RequestDone &)
{
    RequestEnd requestEnd;
    requestEnd.status = m_writer.status();
    end(requestEnd);
}

void ForwardedRequest::chooseBackendAfter(core::Duration delay)
{
    m_retryTimer.expires_after(delay);
    m_retryTimer.async_wait(asio::bind_executor(m_strand, [self = shared_from_this()](const auto &error) {
        if (!error && !self->m_isEnded) {
            self->chooseBackend();
        }
    }));
}

void ForwardedRequest::onDeadline()
{
    // Ends the attempt first, so that the selector records a timeout: RequestAttempts would only cancel the attempt.
    endAttempt(Outcome::TimedOut);
    execute(m_requestAttempts.tick(std::max(m_clock.now(), m_deadline)));
}

void ForwardedRequest::onCallerGone()
{
    execute(m_requestAttempts.callerGone());
    endAttempt(Outcome::Cancelled);
    RequestEnd requestEnd;
    requestEnd.kind = RequestEndKind::CallerGone;
    end(requestEnd);
}

void ForwardedRequest::endAttempt(Outcome outcome)
{
    if (m_routingAttemptId) {
        const bool isSent = m_attempt && !m_attempt->isHolderQuery;
        m_services.backends.requestEnded(*m_routingAttemptId, m_choice->vm, isSent ? outcome : Outcome::Cancelled);
        m_routingAttemptId.reset();
    }
    if (!m_attempt) {
        return;
    }
    if (outcome == Outcome::Cancelled || outcome == Outcome::TimedOut) {
        m_attempt->link->send(wire::makeFrame(wire::RequestCancel{m_attempt->key}, m_services.configuration.version()));
    }
    m_services.requests.remove(m_attempt->key);
    m_attempt.reset();
}

void ForwardedRequest::endWithError(RequestEndKind kind, core::ErrorKind error)
{
    RequestEnd requestEnd;
    requestEnd.kind = kind;
    requestEnd.error = error;
    requestEnd.status = core::answerOf(error).httpStatus;
    end(requestEnd);
}

void ForwardedRequest::end(RequestEnd requestEnd)
{
    m_isEnded = true;
    m_services.running.remove(this);
    m_deadlineTimer.cancel();
    m_retryTimer.cancel();
    if (m_claim && !m_requestAttempts.mayHaveRun() && requestEnd.kind != RequestEndKind::Answered) {
        m_claim->release();
    }
    if (m_isAdmitted) {
        m_services.admission.completed(m_ticketId);
    } else {
        m_services.admission.cancelled(m_ticketId);
    }
    m_tokenTimes.addTo(requestEnd, m_startedAt);
    requestEnd.duration = m_clock.now() - m_startedAt;
    m_services.requestMetrics.recordEnd(m_request, requestEnd);
    m_services.gate.requestFinished();
}

} // namespace lycheelanding::daemon::entry

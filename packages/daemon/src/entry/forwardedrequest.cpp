#include "entry/forwardedrequest.h"

#include "shared/forwardedheaders.h"
#include "shared/randomnumbers.h"

#include <asio/bind_executor.hpp>
#include <asio/post.hpp>

#include <algorithm>

namespace lycheelanding::daemon::entry {

namespace {

using decisions::routing::Outcome;
using namespace decisions::attempts;

/// How long a request waits for a place at the backend servers of its model or service before it is refused.
constexpr std::chrono::milliseconds longestWaitForRoom(1000);
constexpr std::chrono::milliseconds roomCheckInterval(5);

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
      m_ticket(shared::randomNumber()), m_startedAt(m_clock.now()), m_deadline(m_startedAt + m_request.timeout),
      m_tokens(services.observer.gapLimit(m_request)), m_writer(m_exchange, services.maxUnsentBytes),
      m_rules({m_request.isIdempotent, m_deadline})
{
    if (!m_request.idempotencyKey.empty()) {
        m_claim.emplace(m_services.claims, m_request);
    }
}

template <typename Handler>
void ForwardedRequest::post(Handler handler)
{
    asio::post(m_strand, [self = shared_from_this(), handler = std::move(handler)] {
        if (!self->m_isEnded) {
            handler(*self);
        }
    });
}

void ForwardedRequest::start()
{
    m_services.observer.started();
    const auto self = shared_from_this();
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
    const decisions::admission::RequestTicket ticket{m_ticket, m_request.organisation, priorityOf(m_request.urgency),
                                                     m_deadline,
                                                     std::max<std::uint64_t>(m_request.route.expectedTokens, 1)};
    m_services.admission.offer(ticket, [self](const core::Result<decisions::admission::Admitted> &result) {
        self->post([result](auto &current) { current.admitted(result); });
    });
}

void ForwardedRequest::admitted(const core::Result<decisions::admission::Admitted> &result)
{
    if (!core::isOk(result)) {
        carryOut(m_rules.giveUp(core::errorOf(result)));
        return;
    }
    m_isAdmitted = true;
    m_isBeyondShare = core::valueOf(result).beyondShare;
    choose();
}

void ForwardedRequest::choose()
{
    auto route = m_request.route;
    route.excluded = m_tried;
    const decisions::routing::AttemptId routedAttempt(shared::randomNumber());
    const auto choice = m_services.backends.chooseAndSend(route, routedAttempt);
    if (!core::isOk(choice)) {
        waitForRoom(core::errorOf(choice));
        return;
    }
    m_choice = core::valueOf(choice);
    m_routedAttempt = routedAttempt;
    if (m_claim) {
        claimThenSend();
    } else {
        send();
    }
}

void ForwardedRequest::waitForRoom(const core::Error &error)
{
    const auto now = m_clock.now();
    if (!m_roomUntil) {
        m_roomUntil = std::min(now + longestWaitForRoom, m_deadline);
    }
    // Admission counts the places of all backend servers together; those of one model or service may be taken.
    const bool isFull = error.kind == core::ErrorKind::Overloaded;
    if (!isFull || now + roomCheckInterval >= *m_roomUntil) {
        carryOut(m_rules.giveUp(error));
        return;
    }
    chooseAfter(roomCheckInterval);
}

void ForwardedRequest::claimThenSend()
{
    const auto incarnation = m_services.links.incarnationOf(m_choice->vm);
    if (!incarnation) {
        endWithoutLink(m_rules.attemptStarted());
        return;
    }
    const decisions::idempotency::SideId side{m_choice->vm, *incarnation};
    if (m_claim->isGrantedFor(side)) {
        send();
        return;
    }
    const auto onVerdict = [self = shared_from_this()](const ClaimVerdict &verdict) {
        self->post([verdict](auto &current) { current.claimDecided(verdict); });
    };
    m_claim->obtain(side, m_exchange->request(), m_clock.wallNow(), onVerdict);
}

void ForwardedRequest::claimDecided(const ClaimVerdict &verdict)
{
    const auto refused = m_claim->decided(verdict);
    if (!refused) {
        send();
        return;
    }
    endAttempt(Outcome::Cancelled);
    if (refused->error.kind != core::ErrorKind::AlreadyClaimed || !refused->holder || m_claim->holder()) {
        carryOut(m_rules.giveUp(refused->error));
        return;
    }
    if (!refused->holder->isSameRequest) {
        carryOut(m_rules.giveUp({core::ErrorKind::AlreadyClaimed, "the idempotency key was used for another request"}));
        return;
    }
    askHolder(*refused->holder);
}

void ForwardedRequest::askHolder(const decisions::idempotency::Holder &holder)
{
    m_claim->askedHolder(holder);
    // The earlier attempt may have run, so the question to its holder counts as an attempt that may have.
    const auto attempt = m_rules.attemptStarted();
    if (!openAttempt(holder.side.vm, attempt, true)) {
        carryOut(m_rules.notSent(
            attempt, {core::ErrorKind::AlreadyClaimed, "the request was sent before; its answer cannot be had"},
            m_clock.now()));
        return;
    }
    carryOut(m_rules.readyToSend(attempt));
}

bool ForwardedRequest::openAttempt(const core::VmId &vm, AttemptNumber number, bool asksHolder)
{
    const auto link = m_services.links.find(vm);
    if (!link) {
        return false;
    }
    const auto key = m_services.requests.add(shared_from_this(), link);
    m_attempt = Attempt{number, key, link, m_clock.now(), false, asksHolder};
    m_writer.restart(m_attempt->key);
    return true;
}

void ForwardedRequest::send()
{
    m_tried.push_back(m_choice->vm);
    const auto attempt = m_rules.attemptStarted();
    if (!openAttempt(m_choice->vm, attempt, false)) {
        endWithoutLink(attempt);
        return;
    }
    if (m_tried.size() == 1) {
        m_services.retries.firstAttemptSent();
    }
    carryOut(m_rules.readyToSend(attempt));
}

void ForwardedRequest::endWithoutLink(AttemptNumber attempt)
{
    endAttempt(Outcome::Refused);
    carryOut(m_rules.notSent(attempt, {core::ErrorKind::NoBackendServer, "no connection to " + m_choice->vm.text()},
                             m_clock.now()));
}

void ForwardedRequest::carryOut(const SendRequest &)
{
    const auto version = m_services.configuration.version();
    if (!m_attempt->asksHolder) {
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

void ForwardedRequest::receive(const wire::RequestRefused &refused)
{
    post([refused](auto &current) {
        if (!current.isCurrent(refused.key)) {
            return;
        }
        if (current.m_attempt->asksHolder) {
            current.holderRefused(refused);
            return;
        }
        core::Error error{refused.kind, refused.detail};
        if (refused.retryAfterMs > 0) {
            error.retryAfter = std::chrono::milliseconds(refused.retryAfterMs);
        }
        const bool isLeaving = refused.kind == core::ErrorKind::Draining;
        const auto attempt = current.m_attempt->number;
        current.endAttempt(isLeaving ? Outcome::Leaving : Outcome::Refused);
        current.carryOut(current.m_rules.refused(attempt, error, current.m_clock.now()));
    });
}

void ForwardedRequest::holderRefused(const wire::RequestRefused &refused)
{
    const auto attempt = m_attempt->number;
    endAttempt(Outcome::Cancelled);
    const auto actions = m_rules.refused(attempt, {core::ErrorKind::AlreadyClaimed, refused.detail}, m_clock.now());
    if (refused.kind != core::ErrorKind::NoBackendServer || m_rules.isOver()) {
        carryOut(actions);
        return;
    }
    // The holder's side has promised never to run the earlier attempt: the key is free for this one.
    m_claim->releaseHolder();
    choose();
}

void ForwardedRequest::receive(const wire::AnswerHead &head)
{
    post([head](auto &current) { current.onHead(head); });
}

void ForwardedRequest::receive(const wire::AnswerChunk &chunk)
{
    post([chunk](auto &current) { current.onChunk(chunk); });
}

void ForwardedRequest::receive(const wire::AnswerEnd &end)
{
    post([end](auto &current) { current.onEnd(end); });
}

void ForwardedRequest::receiveLinkLost(const wire::RequestKey &key, const core::Error &error)
{
    post([key, error](auto &current) {
        if (current.isCurrent(key)) {
            current.attemptLost({core::ErrorKind::BackendServerLost, error.detail}, Outcome::Failed);
        }
    });
}

void ForwardedRequest::onHead(const wire::AnswerHead &head)
{
    if (!isCurrent(head.key)) {
        return;
    }
    const auto status = m_writer.writeHead(head);
    noteAnswering();
    if (!core::isOk(status)) {
        attemptLost(core::errorOf(status), Outcome::Failed);
    }
}

void ForwardedRequest::onChunk(const wire::AnswerChunk &chunk)
{
    if (!isCurrent(chunk.key)) {
        return;
    }
    const auto now = m_clock.now();
    if (const auto gap = m_tokens.tokenArrived(now)) {
        m_services.observer.tokenGap(*gap);
    }
    if (m_routedAttempt && !m_attempt->hasFirstToken) {
        m_attempt->hasFirstToken = true;
        m_services.backends.firstToken(*m_routedAttempt, m_choice->vm, m_request.promptTokens, now - m_attempt->sentAt);
    } else if (m_routedAttempt) {
        m_services.backends.tokenProgress(*m_routedAttempt);
    }
    const auto status = m_writer.writeChunk(chunk);
    noteAnswering();
    if (core::isOk(status)) {
        return;
    }
    if (core::errorOf(status).kind == core::ErrorKind::Cancelled) {
        m_writer.fail(core::errorOf(status));
        onCallerGone();
        return;
    }
    attemptLost(core::errorOf(status), Outcome::Failed);
}

void ForwardedRequest::noteAnswering()
{
    if (m_writer.hasBegun()) {
        carryOut(m_rules.answerStarted(m_attempt->number));
    }
}

void ForwardedRequest::onEnd(const wire::AnswerEnd &end)
{
    if (!isCurrent(end.key)) {
        return;
    }
    const auto status = m_writer.writeEnd(end);
    noteAnswering();
    if (!core::isOk(status)) {
        const bool isTimeout = core::errorOf(status).kind == core::ErrorKind::DeadlineExceeded;
        attemptLost(core::errorOf(status), isTimeout ? Outcome::TimedOut : Outcome::Failed);
        return;
    }
    constexpr int firstServerError = 500;
    const auto attempt = m_attempt->number;
    endAttempt(m_writer.status() >= firstServerError ? Outcome::Failed : Outcome::Answered);
    carryOut(m_rules.answered(attempt));
}

void ForwardedRequest::attemptLost(const core::Error &error, Outcome outcome)
{
    const auto attempt = m_attempt->number;
    endAttempt(outcome);
    carryOut(m_rules.lost(attempt, error, m_clock.now()));
}

void ForwardedRequest::carryOut(const AttemptActions &actions)
{
    for (const auto &action : actions) {
        std::visit([this](const auto &each) { carryOut(each); }, action);
    }
}

void ForwardedRequest::carryOut(const RetryPossible &action)
{
    decisions::retry::FailedAttempt failed;
    failed.attempt = std::max<std::uint32_t>(static_cast<std::uint32_t>(m_tried.size()), 1);
    failed.error = action.error;
    failed.ran = action.ran;
    failed.idempotent = m_request.isIdempotent;
    failed.deadline = m_deadline;
    const auto decision = m_services.retries.attemptFailed(failed);
    if (const auto *giveUp = std::get_if<decisions::retry::GiveUp>(&decision)) {
        carryOut(m_rules.giveUp(giveUp->error));
        return;
    }
    m_services.observer.retried();
    chooseAfter(std::get<decisions::retry::RetryAfter>(decision).delay);
}

void ForwardedRequest::carryOut(const CancelAttempt &action)
{
    if (m_attempt && m_attempt->number == action.attempt) {
        endAttempt(Outcome::Cancelled);
    }
}

void ForwardedRequest::carryOut(const AnswerError &action)
{
    m_writer.fail(action.error);
    endWithError(RequestEndKind::Refused, action.error.kind);
}

void ForwardedRequest::carryOut(const BreakAnswer &action)
{
    m_writer.fail(action.error);
    endWithError(RequestEndKind::BrokenOff, action.error.kind);
}

void ForwardedRequest::carryOut(const RequestDone &)
{
    RequestEnd requestEnd;
    requestEnd.status = m_writer.status();
    end(requestEnd);
}

void ForwardedRequest::chooseAfter(core::Duration delay)
{
    m_retryTimer.expires_after(delay);
    m_retryTimer.async_wait(asio::bind_executor(m_strand, [self = shared_from_this()](const auto &error) {
        if (!error && !self->m_isEnded) {
            self->choose();
        }
    }));
}

void ForwardedRequest::onDeadline()
{
    // The attempt's end tells the selector that its time ran out; the rules only know that nobody waits for it.
    endAttempt(Outcome::TimedOut);
    carryOut(m_rules.tick(std::max(m_clock.now(), m_deadline)));
}

void ForwardedRequest::onCallerGone()
{
    carryOut(m_rules.callerGone());
    endAttempt(Outcome::Cancelled);
    RequestEnd requestEnd;
    requestEnd.kind = RequestEndKind::CallerGone;
    end(requestEnd);
}

void ForwardedRequest::endAttempt(Outcome outcome)
{
    if (m_routedAttempt) {
        const bool isSent = m_attempt && !m_attempt->asksHolder;
        m_services.backends.requestEnded(*m_routedAttempt, m_choice->vm, isSent ? outcome : Outcome::Cancelled);
        m_routedAttempt.reset();
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
    m_deadlineTimer.cancel();
    m_retryTimer.cancel();
    if (m_claim && !m_rules.mayHaveRun() && requestEnd.kind != RequestEndKind::Answered) {
        m_claim->release();
    }
    if (m_isAdmitted) {
        m_services.admission.completed(m_ticket);
    } else {
        m_services.admission.cancelled(m_ticket);
    }
    m_tokens.report(requestEnd, m_startedAt);
    requestEnd.duration = m_clock.now() - m_startedAt;
    m_services.observer.ended(m_request, requestEnd);
    m_services.gate.finished();
}

} // namespace lycheelanding::daemon::entry

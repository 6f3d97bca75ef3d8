// What sides send for a request: its answers, refusals and the loss of their links.

#include "entry/forwardedrequest.h"

namespace lycheelanding::daemon::entry {

namespace {

using decisions::routing::Outcome;

} // namespace

void ForwardedRequest::receive(const wire::RequestRefused &refused)
{
    post([refused](auto &current) {
        if (!current.isCurrent(refused.key)) {
            return;
        }
        if (current.m_attempt->isHolderQuery) {
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
        current.execute(current.m_requestAttempts.refused(attempt, error, current.m_clock.now()));
    });
}

void ForwardedRequest::holderRefused(const wire::RequestRefused &refused)
{
    const auto attempt = m_attempt->number;
    endAttempt(Outcome::Cancelled);
    const auto actions
        = m_requestAttempts.refused(attempt, {core::ErrorKind::AlreadyClaimed, refused.detail}, m_clock.now());
    if (refused.kind != core::ErrorKind::NoBackendServer || m_requestAttempts.isOver()) {
        execute(actions);
        return;
    }
    // The holder's side guarantees never to run the earlier attempt, so the key can be claimed for this request.
    m_claim->releaseHolder();
    chooseBackend();
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
    recordAnswerStart();
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
    if (const auto gap = m_tokenTimes.recordToken(now)) {
        m_services.requestMetrics.recordTokenGap(*gap);
    }
    if (m_routingAttemptId && !m_attempt->hasFirstToken) {
        m_attempt->hasFirstToken = true;
        m_services.backends.firstToken(*m_routingAttemptId, m_choice->vm, m_request.promptTokens,
                                       now - m_attempt->sentAt);
    } else if (m_routingAttemptId) {
        m_services.backends.tokenProgress(*m_routingAttemptId);
    }
    const auto status = m_writer.writeChunk(chunk);
    recordAnswerStart();
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

void ForwardedRequest::recordAnswerStart()
{
    if (m_writer.hasBegun()) {
        execute(m_requestAttempts.answerStarted(m_attempt->number));
    }
}

void ForwardedRequest::onEnd(const wire::AnswerEnd &end)
{
    if (!isCurrent(end.key)) {
        return;
    }
    const auto status = m_writer.writeEnd(end);
    recordAnswerStart();
    if (!core::isOk(status)) {
        const bool isTimeout = core::errorOf(status).kind == core::ErrorKind::DeadlineExceeded;
        attemptLost(core::errorOf(status), isTimeout ? Outcome::TimedOut : Outcome::Failed);
        return;
    }
    constexpr int firstServerError = 500;
    const auto attempt = m_attempt->number;
    endAttempt(m_writer.status() >= firstServerError ? Outcome::Failed : Outcome::Answered);
    execute(m_requestAttempts.answered(attempt));
}

void ForwardedRequest::attemptLost(const core::Error &error, Outcome outcome)
{
    const auto attempt = m_attempt->number;
    endAttempt(outcome);
    execute(m_requestAttempts.lost(attempt, error, m_clock.now()));
}

} // namespace lycheelanding::daemon::entry

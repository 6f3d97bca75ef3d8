#include "lycheelanding/decisions/attempts/requestattempts.h"

namespace lycheelanding::decisions::attempts {

RequestAttempts::RequestAttempts(const RequestTraits &traits) : m_traits(traits) { }

AttemptNumber RequestAttempts::attemptStarted()
{
    m_last = m_last.next();
    m_isInProgress = true;
    m_isSent = false;
    return m_last;
}

AttemptActions RequestAttempts::readyToSend(AttemptNumber attempt)
{
    AttemptActions actions;
    if (!isCurrent(attempt)) {
        // The caller may already have been answered that the request did not run, so it must not be sent any more.
        actions.emplace_back(CancelAttempt{attempt});
        return actions;
    }
    m_isSent = true;
    actions.emplace_back(SendRequest{attempt});
    return actions;
}

AttemptActions RequestAttempts::notSent(AttemptNumber attempt, const core::Error &error, core::TimePoint now)
{
    // Once bytes were handed to the connection, it cannot be proved that they did not arrive.
    if (m_isSent) {
        return lost(attempt, error, now);
    }
    AttemptActions actions;
    if (isCurrent(attempt)) {
        endAttempt(attempt, error, now, actions);
    }
    return actions;
}

void RequestAttempts::withdrawn(AttemptNumber attempt)
{
    if (isCurrent(attempt) && !m_isSent) {
        m_isInProgress = false;
    }
}

AttemptActions RequestAttempts::refused(AttemptNumber attempt, const core::Error &error, core::TimePoint now)
{
    // A side that has started to answer has admitted the request, so a refusal afterwards counts as a loss. With a
    // resumable answer the refusal may come from the side that was asked to continue it.
    if (m_hasAnswerStarted && !m_traits.isResumable) {
        return lost(attempt, error, now);
    }
    AttemptActions actions;
    if (isCurrent(attempt)) {
        m_isSent = false;
        endAttempt(attempt, error, now, actions);
    }
    return actions;
}

AttemptActions RequestAttempts::lost(AttemptNumber attempt, const core::Error &error, core::TimePoint now)
{
    AttemptActions actions;
    if (!isCurrent(attempt)) {
        return actions;
    }
    m_wasLost = m_wasLost || m_isSent;
    m_isSent = false;
    endAttempt(attempt, error, now, actions);
    return actions;
}

AttemptActions RequestAttempts::answerStarted(AttemptNumber attempt)
{
    if (isCurrent(attempt)) {
        m_hasAnswerStarted = true;
    }
    return {};
}

AttemptActions RequestAttempts::answered(AttemptNumber attempt)
{
    AttemptActions actions;
    if (isCurrent(attempt)) {
        m_isOver = true;
        m_isInProgress = false;
        actions.emplace_back(RequestDone{});
    }
    return actions;
}

AttemptActions RequestAttempts::giveUp(const core::Error &error)
{
    AttemptActions actions;
    if (!m_isOver && !m_isInProgress) {
        answer(error, actions);
    }
    return actions;
}

AttemptActions RequestAttempts::abandon(const std::string &reason)
{
    AttemptActions actions;
    if (!m_isOver) {
        cancelCurrent(actions);
        answer({mayHaveRun() ? core::ErrorKind::BackendServerLost : core::ErrorKind::Draining, reason}, actions);
    }
    return actions;
}

AttemptActions RequestAttempts::callerGone()
{
    AttemptActions actions;
    if (!m_isOver) {
        cancelCurrent(actions);
        m_isOver = true;
    }
    return actions;
}

AttemptActions RequestAttempts::tick(core::TimePoint now)
{
    AttemptActions actions;
    if (m_isOver || now < m_traits.deadline) {
        return actions;
    }
    cancelCurrent(actions);
    if (mayHaveRun()) {
        answer({core::ErrorKind::DeadlineExceeded, "no answer before the deadline"}, actions);
    } else {
        answer({core::ErrorKind::DeadlineUnmeetable, "not sent before the deadline"}, actions);
    }
    return actions;
}

bool RequestAttempts::isCurrent(AttemptNumber attempt) const
{
    return !m_isOver && m_isInProgress && attempt == m_last;
}

bool RequestAttempts::isResendSafe() const
{
    const bool canRestart = !m_hasAnswerStarted || m_traits.isResumable;
    return canRestart && (m_traits.isIdempotent || !mayHaveRun());
}

void RequestAttempts::endAttempt(AttemptNumber attempt, const core::Error &error, core::TimePoint now,
                                 AttemptActions &actions)
{
    m_isInProgress = false;
    if (isResendSafe() && now < m_traits.deadline) {
        actions.emplace_back(RetryPossible{attempt, error, mayHaveRun() ? core::Ran::Unknown : core::Ran::No});
        return;
    }
    answer(error, actions);
}

void RequestAttempts::answer(const core::Error &error, AttemptActions &actions)
{
    m_isOver = true;
    if (m_hasAnswerStarted) {
        actions.emplace_back(BreakAnswer{error});
        return;
    }
    if (!mayHaveRun()) {
        actions.emplace_back(AnswerError{error, core::Ran::No});
        return;
    }
    // If the last attempt was refused, an earlier lost attempt may still have run.
    core::Error shown = error;
    if (core::answerOf(error.kind).ran == core::Ran::No) {
        shown = {core::ErrorKind::BackendServerLost, "an earlier attempt was lost; the last one: " + error.detail};
    }
    shown.retryAfter.reset();
    actions.emplace_back(AnswerError{shown, core::Ran::Unknown});
}

void RequestAttempts::cancelCurrent(AttemptActions &actions)
{
    if (m_isInProgress) {
        actions.emplace_back(CancelAttempt{m_last});
    }
    m_isInProgress = false;
}

} // namespace lycheelanding::decisions::attempts

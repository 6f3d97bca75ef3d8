#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"
#include "lycheelanding/core/result.h"

#include <string>
#include <variant>
#include <vector>

/// State machine of one request over its attempts at several sides: when it may be resent and what the caller may be
/// answered.
namespace lycheelanding::decisions::attempts {

/// Counted from 1 within a request.
using AttemptNumber = core::NumberId<struct AttemptTag>;

struct RequestTraits
{
    bool isIdempotent = true;
    core::TimePoint deadline;
    /// Another attempt can continue an answer of which the caller already has a part (a resumable stream).
    bool isResumable = false;
};

/// A further attempt would be safe. The retry policy decides whether it is useful and within the retry budget; the
/// owner then calls attemptStarted() or giveUp().
struct RetryPossible
{
    AttemptNumber failed;
    core::Error error;
    core::Ran ran = core::Ran::No;
};
/// The request must be handed to the connection now.
struct SendRequest
{
    AttemptNumber attempt;
};
/// The result of the attempt is no longer needed; nothing more of it may be sent.
struct CancelAttempt
{
    AttemptNumber attempt;
};
/// The caller is to be answered with an error. `ran` is No only if the request provably did not run; where the table of
/// errors says No for the kind, `ran` is No as well.
struct AnswerError
{
    core::Error error;
    core::Ran ran = core::Ran::Unknown;
};
/// The caller has a part of the answer, which cannot be completed: the answer must end such that the caller detects it
/// as incomplete.
struct BreakAnswer
{
    core::Error error;
};
/// The whole answer has reached the caller.
struct RequestDone
{ };
using AttemptAction = std::variant<RetryPossible, SendRequest, CancelAttempt, AnswerError, BreakAnswer, RequestDone>;
using AttemptActions = std::vector<AttemptAction>;

/// One request of a caller. From the first byte handed to its connection, an attempt counts as possibly executed; only
/// a refusal by the side revokes that. Events of attempts that have ended are ignored.
class RequestAttempts
{
public:
    explicit RequestAttempts(const RequestTraits &traits);

    /// The next attempt begins: the entry connects to a side or uses an open connection. Must not be called while
    /// another attempt is in progress.
    AttemptNumber attemptStarted();
    /// The connection is ready for the first byte: returns SendRequest, or CancelAttempt if the attempt has ended.
    AttemptActions readyToSend(AttemptNumber attempt);
    /// No byte was handed to a connection, nor will be: no side was found, or the connection provably never opened.
    AttemptActions notSent(AttemptNumber attempt, const core::Error &error, core::TimePoint now);
    /// The attempt is taken back before a byte was handed to its connection. Another one may start at once.
    void withdrawn(AttemptNumber attempt);
    /// The side refused the request before it handed the request to the backend server.
    AttemptActions refused(AttemptNumber attempt, const core::Error &error, core::TimePoint now);
    /// The connection was lost, or the answer was broken.
    AttemptActions lost(AttemptNumber attempt, const core::Error &error, core::TimePoint now);
    /// The first part of the answer is about to be sent to the caller.
    AttemptActions answerStarted(AttemptNumber attempt);
    /// The whole answer has been sent to the caller.
    AttemptActions answered(AttemptNumber attempt);
    /// The response to RetryPossible when no further attempt is made. Also ends a request that has had no attempt.
    AttemptActions giveUp(const core::Error &error);
    /// The process ends before the request does: cancels the attempt in progress and answers the caller now.
    AttemptActions abandon(const std::string &reason);
    /// The caller has disconnected.
    AttemptActions callerGone();
    /// Ends the request once its deadline has passed.
    AttemptActions tick(core::TimePoint now);

    bool isOver() const { return m_isOver; }
    /// Whether the request may have reached a backend server. The idempotency claim may be released only if not.
    bool mayHaveRun() const { return m_wasLost || m_isSent; }

private:
    bool isCurrent(AttemptNumber attempt) const;
    bool isResendSafe() const;
    void endAttempt(AttemptNumber attempt, const core::Error &error, core::TimePoint now, AttemptActions &actions);
    void answer(const core::Error &error, AttemptActions &actions);
    void cancelCurrent(AttemptActions &actions);

    RequestTraits m_traits;
    AttemptNumber m_last;
    bool m_isInProgress = false;
    /// Bytes of the current attempt were handed to its connection.
    bool m_isSent = false;
    /// An earlier attempt was lost after it was sent, so it may have run.
    bool m_wasLost = false;
    bool m_hasAnswerStarted = false;
    bool m_isOver = false;
};

} // namespace lycheelanding::decisions::attempts

#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"
#include "lycheelanding/core/result.h"

#include <variant>
#include <vector>

/// What an entry may do and say about a request over its attempts at several sides.
namespace lycheelanding::decisions::attempts {

/// Counted from 1 within a request.
using AttemptNumber = core::NumberId<struct AttemptTag>;

struct RequestTraits
{
    bool isIdempotent = true;
    core::TimePoint deadline;
    /// Another attempt can go on with an answer that has begun to reach the caller.
    bool isResumable = false;
};

/// A further attempt would be safe. Answered by attemptStarted() or giveUp(); whether it is worth while, and within the
/// retry budget, is for the retry policy.
struct RetryPossible
{
    AttemptNumber failed;
    core::Error error;
    core::Ran ran = core::Ran::No;
};
/// Hand the request to the connection now.
struct SendRequest
{
    AttemptNumber attempt;
};
/// Nobody waits for the attempt any more; nothing more of it may be sent.
struct CancelAttempt
{
    AttemptNumber attempt;
};
/// The caller's answer. The kind's own `ran` in the table of errors never says less than `ran`.
struct AnswerError
{
    core::Error error;
    core::Ran ran = core::Ran::Unknown;
};
/// The answer has begun to reach the caller and cannot be completed: end it visibly broken.
struct BreakAnswer
{
    core::Error error;
};
/// The whole answer has reached the caller.
struct RequestDone
{ };
using AttemptAction = std::variant<RetryPossible, SendRequest, CancelAttempt, AnswerError, BreakAnswer, RequestDone>;
using AttemptActions = std::vector<AttemptAction>;

/// One request of a caller. An attempt counts as possibly run from the first byte handed to its connection until the
/// side refuses it; nothing else takes that back. Events of attempts that are over are ignored.
class RequestAttempts
{
public:
    explicit RequestAttempts(const RequestTraits &traits);

    /// The entry begins to connect to a side, or takes an open connection, for the next attempt. Only while none is
    /// under way.
    AttemptNumber attemptStarted();
    /// The connection is ready for the first byte: gives SendRequest, or CancelAttempt when the attempt is over.
    AttemptActions readyToSend(AttemptNumber attempt);
    /// No byte was handed over, and none will be: no side was found, or the connection provably never opened.
    AttemptActions notSent(AttemptNumber attempt, const core::Error &error, core::TimePoint now);
    /// The side refused the request before it handed it to the backend server.
    AttemptActions refused(AttemptNumber attempt, const core::Error &error, core::TimePoint now);
    /// The connection was lost, or the answer was broken.
    AttemptActions lost(AttemptNumber attempt, const core::Error &error, core::TimePoint now);
    /// Part of the answer is about to reach the caller.
    AttemptActions answerStarted(AttemptNumber attempt);
    AttemptActions answered(AttemptNumber attempt);
    /// No further attempt; answers RetryPossible. Also ends a request that has no attempt yet.
    AttemptActions giveUp(const core::Error &error);
    AttemptActions callerGone();
    AttemptActions tick(core::TimePoint now);

    bool isOver() const { return m_isOver; }
    /// Whether the request may have reached a backend server. Its claim may be released only if not.
    bool mayHaveRun() const { return m_wasLost || m_isSent; }

private:
    bool isCurrent(AttemptNumber attempt) const;
    bool isResendSafe() const;
    void endAttempt(AttemptNumber attempt, const core::Error &error, core::TimePoint now, AttemptActions &actions);
    void answer(const core::Error &error, AttemptActions &actions);
    void cancelCurrent(AttemptActions &actions);

    RequestTraits m_traits;
    AttemptNumber m_last;
    bool m_isUnderWay = false;
    /// Bytes of the attempt under way were handed to its connection.
    bool m_isSent = false;
    /// An earlier attempt may have run.
    bool m_wasLost = false;
    bool m_hasAnswerStarted = false;
    bool m_isOver = false;
};

} // namespace lycheelanding::decisions::attempts

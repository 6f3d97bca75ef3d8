#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/attempts/requestattempts.h"
#include "lycheelanding/forwarding/backendattempt.h"
#include "lycheelanding/forwarding/calleranswer.h"
#include "lycheelanding/forwarding/forwardingresources.h"
#include "lycheelanding/forwarding/overload.h"
#include "lycheelanding/forwarding/requestterms.h"
#include "lycheelanding/forwarding/waitlimits.h"
#include "lycheelanding/http/httpserver.h"
#include "lycheelanding/report/answertimes.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lycheelanding::forwarding {

/// One request of a caller, from its arrival to its answer. RequestAttempts decides what may be sent again and what an
/// error answer may state; this class executes these decisions on connections.
class ForwardedExchange : public std::enable_shared_from_this<ForwardedExchange>
{
public:
    ForwardedExchange(const ForwardingResources &resources, RouteTablePointer routes,
                      http::HttpExchangePointer exchange, std::function<void()> onFinished);

    void start();
    /// Starts an attempt if a backend server has capacity; otherwise returns false and the request has to wait.
    bool trySend();
    /// Gives up the request at its waitDeadline().
    void onWaitTimeout();
    /// Replaces the current attempt if its backend server has been inactive for too long and another one can resume the
    /// stream now. Otherwise the attempt goes on: the backend server may only be slow.
    void replaceInactiveAttempt();
    /// Ends the current attempt if its prompt is held now and its answer has not begun.
    void cancelHeldAttempt();
    /// The process ends: answers the caller now.
    void abandon();
    bool isFinished() const { return m_isFinished; }
    /// When it is given up if no backend server has capacity; earlier for a late request that has no prospect of one.
    core::TimePoint waitDeadline() const;
    const core::ServiceId &service() const { return m_terms.service; }
    std::uint32_t priority() const { return m_terms.priority; }
    /// Whether its answer can no longer begin within the target latency.
    bool isLate(core::TimePoint time) const { return time >= m_limits.lateSince; }

private:
    using AttemptNumber = decisions::attempts::AttemptNumber;

    void startTimer();
    void startAttempt();
    QueuedRequest queuedRequest() const;
    /// Gives up the request if it is known that no backend server takes it in its time; returns whether it did.
    bool giveUpUnservable();
    std::optional<ReservedBackend> reserveReplacement(const core::Error &error, core::Duration inactivity);
    std::optional<RetryDenial> retryDenial() const;
    decisions::retry::FailedAttempt failedAttempt(const core::Error &error, core::Ran ran) const;
    FailedAttemptLine failedAttemptLine(const core::Error &error) const;
    std::optional<ReservedBackend> reserveBackend(const BackendRequirements &request);
    BackendRequirements backendRequirements() const;
    void beginAttempt(const ReservedBackend &reserved);
    void onConnected(AttemptNumber attempt, const core::Status &status);
    http::AnswerHandlers answerHandlers(AttemptNumber attempt);
    bool isCurrent(AttemptNumber attempt) const { return m_attempt && m_attempt->number() == attempt; }

    void onHead(AttemptNumber attempt, http::AnswerHead head);
    void onBody(AttemptNumber attempt, std::string_view bytes);
    void onEnd(AttemptNumber attempt, bool isReusable);
    void onFailed(AttemptNumber attempt, const core::Error &error);
    void recordEvent();
    void finishAnswer();

    void onTimeout();
    void onCallerGone();
    void execute(const decisions::attempts::AttemptActions &actions);
    void execute(const decisions::attempts::RetryPossible &action);
    void execute(const decisions::attempts::SendRequest &action);
    void execute(const decisions::attempts::CancelAttempt &action);
    void execute(const decisions::attempts::AnswerError &action);
    void execute(const decisions::attempts::BreakAnswer &action);
    void execute(const decisions::attempts::RequestDone &) { }

    void endAttempt(Outcome outcome);
    void answerError(const core::Error &error);
    void finish(std::string_view outcome, int status);
    core::TimePoint now() const { return m_clock.now(); }

    ForwardingResources m_resources;
    const RouteTablePointer m_routes;
    const http::HttpExchangePointer m_exchange;
    std::function<void()> m_onFinished;
    CallerAnswer m_answer;
    core::SystemClock m_clock;
    const core::TimePoint m_arrival;
    RequestLog m_log;
    asio::steady_timer m_timer;
    asio::steady_timer m_retryTimer;
    std::string m_attemptName;
    RequestTerms m_terms;
    WaitLimits m_limits;
    std::optional<decisions::attempts::RequestAttempts> m_attempts;
    std::optional<BackendAttempt> m_attempt;
    /// For the attempt that replaces an inactive one.
    std::optional<ReservedBackend> m_replacement;
    std::vector<BackendId> m_tried;
    /// Error answer of the last failed backend server; the caller receives it when there is no further attempt.
    std::optional<http::HttpResponse> m_backendFailure;
    /// Of the last answer that a backend server began.
    std::optional<http::BodyFraming> m_framing;
    report::AnswerTimes m_times;
    bool m_isFinished = false;
};

} // namespace lycheelanding::forwarding

#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/attempts/requestattempts.h"
#include "lycheelanding/forwarding/answerclass.h"
#include "lycheelanding/forwarding/backendset.h"
#include "lycheelanding/forwarding/calleranswer.h"
#include "lycheelanding/forwarding/eventlog.h"
#include "lycheelanding/forwarding/forwardedfields.h"
#include "lycheelanding/forwarding/requestlog.h"
#include "lycheelanding/forwarding/retrybudgets.h"
#include "lycheelanding/forwarding/routetable.h"
#include "lycheelanding/forwarding/waitingrequests.h"
#include "lycheelanding/forwarding/waitlimits.h"
#include "lycheelanding/http/connectionpool.h"
#include "lycheelanding/http/httpserver.h"
#include "lycheelanding/report/answertimes.h"
#include "lycheelanding/report/metrics.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lycheelanding::forwarding {

class ForwardedExchange;

/// What all requests of an entry share. Used on one thread.
struct ForwardingResources
{
    asio::io_context &context;
    const FieldNames &names;
    BackendSet &backends;
    RetryBudgets &retries;
    http::ConnectionPool &pool;
    EventLog &log;
    report::Metrics &metrics;
    WaitingRequests<ForwardedExchange> &waiting;
    /// Numbers the attempts of the process.
    AttemptId &lastAttempt;
    /// Requests whose stream another backend server can go on with.
    std::map<const ForwardedExchange *, std::weak_ptr<ForwardedExchange>> &resumableStreams;
};

/// One try at one backend server.
struct ForwardedAttempt
{
    decisions::attempts::AttemptNumber number;
    AttemptId id;
    ChosenBackend backend;
    http::ClientConnectionPointer connection;
    core::TimePoint startedAt;
    AnswerClass answerClass = AnswerClass::Valid;
    http::AnswerHead head;
    bool hasEvent = false;
};

/// One request of a caller, from its arrival to its answer. RequestAttempts says what may be sent again and what an
/// answer may claim; this class carries that out over connections.
class ForwardedExchange : public std::enable_shared_from_this<ForwardedExchange>
{
public:
    ForwardedExchange(const ForwardingResources &parts, RouteTablePointer routes, http::HttpExchangePointer exchange,
                      std::function<void()> onFinished);

    void start();
    /// Tries again to find a backend server for a request that waits; false when there is none yet.
    bool trySend();
    /// Gives up a request that has waited for as long as it may.
    void onWaitTimeout();
    /// Goes on elsewhere when the backend server has been silent for too long.
    void failInactiveAttempt();
    bool isFinished() const { return m_isFinished; }
    core::TimePoint waitDeadline() const { return m_limits.waitDeadline; }
    const core::ServiceId &service() const { return m_service; }
    std::uint32_t priority() const { return m_priority; }
    /// Whether its answer can no longer begin within the target latency.
    bool isLate(core::TimePoint time) const { return time >= m_limits.lateSince; }

private:
    using AttemptNumber = decisions::attempts::AttemptNumber;

    core::Result<const Route *> findRoute();
    void startTimer();
    void startAttempt();
    BackendRequirements backendRequirements() const;
    void beginAttempt(const ChosenBackend &chosen);
    void openConnection();
    void onConnected(AttemptNumber attempt, const core::Status &status);
    http::AnswerHandlers answerHandlers(AttemptNumber attempt);
    bool isCurrent(AttemptNumber attempt) const { return m_attempt && m_attempt->number == attempt; }

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
    void execute(const decisions::attempts::RequestDone &action);

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
    const Route *m_route = nullptr;
    core::ServiceId m_service;
    core::OrganisationId m_organisation;
    std::string m_attemptName;
    TokenCounts m_tokens;
    core::TimePoint m_deadline;
    WaitLimits m_limits;
    std::uint32_t m_priority = 0;
    std::optional<decisions::attempts::RequestAttempts> m_attempts;
    std::optional<ForwardedAttempt> m_attempt;
    std::vector<BackendId> m_tried;
    /// A failure that the last backend server answered; it goes to the caller when no other is asked.
    std::optional<http::HttpResponse> m_backendFailure;
    report::AnswerTimes m_times;
    bool m_isFinished = false;
};

} // namespace lycheelanding::forwarding

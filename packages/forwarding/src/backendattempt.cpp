#include "lycheelanding/forwarding/backendattempt.h"

#include <string>
#include <utility>

namespace lycheelanding::forwarding {

namespace {

/// A backend server that crashes under a prompt may still send the first part of an answer to it.
constexpr std::size_t minPartsOfProgress = 2;

} // namespace

BackendAttempt::BackendAttempt(const ForwardingResources &resources, decisions::attempts::AttemptNumber number,
                               const ReservedBackend &reserved, core::TimePoint startedAt)
    : m_resources(resources), m_number(number), m_reserved(reserved), m_startedAt(startedAt)
{ }

bool BackendAttempt::takeIdleConnection()
{
    m_connection = m_resources.pool.acquire(m_reserved.backend.endpoint);
    m_isConnectionReused = m_connection != nullptr;
    return m_isConnectionReused;
}

void BackendAttempt::connect(std::chrono::milliseconds timeout, std::function<void(const core::Status &)> onConnected)
{
    m_resources.metrics.increment(report::Counter::ConnectionsOpened);
    m_connection
        = std::make_shared<http::ClientConnection>(m_resources.context.get_executor(), m_reserved.backend.endpoint);
    m_connection->connect(timeout, std::move(onConnected));
}

void BackendAttempt::send(const http::HttpExchangePointer &exchange, ForwardedFields fields,
                          http::AnswerHandlers handlers)
{
    m_sentAt = m_clock.now();
    m_resources.backends.recordWritten(m_reserved.attempt, m_sentAt);
    fields.expectedBackend = backend().text();
    const auto &request = exchange->request();
    const auto name = request.headers.find(m_resources.names.attempt).value_or(std::string());
    handlers.matchesRequest = [resources = m_resources, backend = backend().text(), name,
                               isReused = m_isConnectionReused](const http::AnswerHead &head) {
        const bool isOwn = isAnswerTo(head, resources.names, name, isReused);
        if (!isOwn) {
            resources.metrics.increment(report::Counter::AnswersSkipped);
            resources.log.write(LogImportance::Request, "answerSkipped",
                                {{"request", name},
                                 {"backend", backend},
                                 {"status", static_cast<std::int64_t>(head.status)},
                                 {"names", head.headers.find(resources.names.attempt).value_or(std::string())}});
        }
        return isOwn;
    };
    m_connection->send(forwardedRequest(exchange, fields, m_resources.names), request.method == "HEAD",
                       std::move(handlers));
}

void BackendAttempt::recordHead(http::AnswerHead head)
{
    m_answerClass = classifyAnswer(head, m_resources.names);
    m_head = std::move(head);
    recordResponseTime();
    // A misdirected answer comes from another backend server.
    if (m_answerClass != AnswerClass::Misdirected && isLeaving(m_head, m_resources.names)) {
        m_resources.onLeaving(backend());
    }
    m_resources.intakeTracker.answered(
        {backend(), m_reserved.backend.startedAtMs, m_startedAt, m_sentAt, m_answerClass}, m_head, m_resources.names);
}

void BackendAttempt::recordResponseTime()
{
    // Other answers show nothing of the time that the backend server needs for a request.
    if (m_answerClass == AnswerClass::Valid || m_answerClass == AnswerClass::Failure) {
        m_resources.backends.recordAnswerHead(m_reserved.attempt, m_clock.now());
    }
}

void BackendAttempt::recordBodyPart(std::uint64_t promptTokens, std::optional<core::Duration> interval,
                                    core::TimePoint now)
{
    ++m_bodyParts;
    if (m_bodyParts == 1) {
        m_resources.backends.recordFirstEvent(m_reserved.attempt, promptTokens, now);
    } else if (interval) {
        m_resources.backends.recordNextEvent(m_reserved.attempt, *interval, now);
    }
}

void BackendAttempt::recordProgress(std::size_t parts, const decisions::quarantine::SharedFeatures &features)
{
    if (!m_hasProgressed && parts >= minPartsOfProgress) {
        m_hasProgressed = true;
        m_resources.requestGuard.answerProgressed(features);
    }
}

void BackendAttempt::reportCrashSuspicion(decisions::quarantine::SharedFeatures features)
{
    const auto registered = m_resources.backends.find(backend());
    if (!registered) {
        return;
    }
    if (m_hasProgressed) {
        features.promptParts.clear();
    }
    // A backend server may start again under its id.
    const auto incarnation = registered->id.text() + "@" + std::to_string(registered->startedAtMs);
    m_resources.requestGuard.attemptLost({incarnation, m_reserved.backend.endpoint, std::move(features)});
}

void BackendAttempt::releaseConnection()
{
    // Without names, a copy of this answer could not be told from the answer to the next request.
    if (namesRequest(m_head, m_resources.names) && m_resources.backends.isInUse(m_reserved.backend.endpoint)) {
        m_resources.pool.release(m_connection);
        m_connection.reset();
    }
}

void BackendAttempt::end(Outcome outcome, core::TimePoint now)
{
    m_resources.backends.recordAttemptEnd(m_reserved.attempt, outcome, now);
    if (m_connection) {
        m_connection->close();
    }
}

} // namespace lycheelanding::forwarding

#include "lycheelanding/forwarding/backendattempt.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <utility>

namespace lycheelanding::forwarding {

namespace {

/// A backend server that crashes under a prompt may still send the first part of an answer to it.
constexpr std::size_t minPartsOfProgress = 2;

std::int64_t perMinute(double perSecond)
{
    constexpr double secondsPerMinute = 60.0;
    constexpr double largest = 1e15;
    return std::llround(std::min(perSecond * secondsPerMinute, largest));
}

} // namespace

BackendAttempt::BackendAttempt(const ForwardingResources &resources, decisions::attempts::AttemptNumber number,
                               const ReservedBackend &reserved, core::TimePoint startedAt)
    : m_resources(resources), m_number(number), m_reserved(reserved), m_startedAt(startedAt)
{ }

bool BackendAttempt::takeIdleConnection()
{
    m_connection = m_resources.pool.acquire(m_reserved.backend.endpoint);
    return m_connection != nullptr;
}

void BackendAttempt::connect(std::chrono::milliseconds timeout, std::function<void(const core::Status &)> onConnected)
{
    m_resources.metrics.increment(report::Counter::ConnectionsOpened);
    m_connection
        = std::make_shared<http::ClientConnection>(m_resources.context.get_executor(), m_reserved.backend.endpoint);
    m_connection->connect(timeout, std::move(onConnected));
}

void BackendAttempt::send(const http::HttpRequest &request, ForwardedFields fields, http::AnswerHandlers handlers)
{
    fields.expectedBackend = backend().text();
    m_connection->send(forwardedRequest(request, fields, m_resources.names), request.method == "HEAD",
                       std::move(handlers));
}

void BackendAttempt::recordHead(http::AnswerHead head, core::TimePoint now)
{
    m_answerClass = classifyAnswer(head, m_resources.names);
    m_head = std::move(head);
    // A misdirected answer comes from another backend server.
    if (m_answerClass != AnswerClass::Misdirected && isLeaving(m_head, m_resources.names)) {
        m_resources.onLeaving(backend());
    }
    // It may have been removed since the request was sent.
    if (isOwnAnswer(m_answerClass) && m_resources.backends.all().contains(backend())) {
        recordLimit(now);
    }
}

void BackendAttempt::recordLimit(core::TimePoint now)
{
    if (const auto limit = statedLimit(m_head, m_resources.names)) {
        recordLimit(*limit, now);
    } else if (const auto ended = m_resources.backends.intake().noLimitStated(backend(), m_startedAt, now)) {
        const auto duration = std::chrono::duration_cast<std::chrono::milliseconds>(ended->duration);
        m_resources.log.write(LogImportance::State, "backendLimitEnded",
                              {{"backend", backend().text()},
                               {"limitedMs", duration.count()},
                               {"sent", static_cast<std::int64_t>(ended->sent)}});
    }
}

void BackendAttempt::recordLimit(const RequestLimit &limit, core::TimePoint now)
{
    auto &intake = m_resources.backends.intake();
    const auto *perSecond = std::get_if<double>(&limit);
    if (perSecond == nullptr) {
        if (intake.limitUnreadable(backend(), now)) {
            m_resources.log.write(LogImportance::State, "backendLimitUnreadable", {{"backend", backend().text()}});
        }
        return;
    }
    if (intake.limitStated(backend(), m_resources.backends.all().at(backend()).service, *perSecond, now)
        == decisions::intake::LimitChange::None) {
        return;
    }
    m_resources.metrics.increment(report::Counter::BackendLimitsStated);
    m_resources.log.write(LogImportance::State, "backendLimited",
                          {{"backend", backend().text()}, {"requestsPerMinute", perMinute(*perSecond)}});
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

void BackendAttempt::recordProgress(std::size_t parts, const decisions::quarantine::PromptParts &promptParts)
{
    if (!m_hasProgressed && parts >= minPartsOfProgress) {
        m_hasProgressed = true;
        m_resources.prompts.answerProgressed(promptParts);
    }
}

void BackendAttempt::reportCrashSuspicion(const decisions::quarantine::PromptParts &promptParts)
{
    const auto registered = m_resources.backends.find(backend());
    if (!registered || m_hasProgressed) {
        return;
    }
    // A backend server may start again under its id.
    const auto incarnation = registered->id.text() + "@" + std::to_string(registered->startedAtMs);
    m_resources.prompts.attemptLost({incarnation, m_reserved.backend.endpoint, promptParts});
}

void BackendAttempt::releaseConnection()
{
    if (m_resources.backends.isInUse(m_reserved.backend.endpoint)) {
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

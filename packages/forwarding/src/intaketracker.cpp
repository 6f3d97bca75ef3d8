#include "lycheelanding/forwarding/intaketracker.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lycheelanding::forwarding {

namespace {

/// Longer times are shortened to this one: such a server is replaced before, or has stated a wrong number.
constexpr double maxRetryDelaySeconds = 24.0 * 60.0 * 60.0;

std::int64_t perMinute(double perSecond)
{
    constexpr double secondsPerMinute = 60.0;
    constexpr double largest = 1e15;
    return std::llround(std::min(perSecond * secondsPerMinute, largest));
}

} // namespace

void IntakeTracker::answered(const AnsweredAttempt &attempt, const http::AnswerHead &head, const FieldNames &names)
{
    const auto backend = m_backends.all().find(attempt.backend);
    if (backend != m_backends.all().end() && isOwnAnswer(attempt.answerClass)) {
        readLimit(backend->second, head, names, attempt.chosenAt);
        readColdTime(backend->second, attempt, head, names);
    }
    // Also from an answer that must not be passed on: what a 503 asks for does not depend on whether the request has
    // run. The registration may have lapsed since, and come back before the pause ends.
    if (attempt.answerClass != AnswerClass::Misdirected) {
        readRetryDelay(attempt, head);
    }
}

void IntakeTracker::reportUnreadable(const BackendId &id, std::string_view field)
{
    if (m_backends.intake().unreadable(id, m_clock.now())) {
        m_log.write(LogImportance::State, "backendFieldUnreadable", {{"backend", id.text()}, {"field", field}});
    }
}

void IntakeTracker::reportIgnoredPause(const AnsweredAttempt &attempt, core::TimePoint now)
{
    const auto pause = m_backends.pauseOf(attempt.backend, attempt.startedAtMs, now);
    if (!pause || attempt.sentAt < pause->toldAt) {
        return;
    }
    const auto sinceTold = [&pause](core::TimePoint time) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time - pause->toldAt).count();
    };
    m_metrics.increment(report::Counter::RequestsSentInPauses);
    m_log.write(LogImportance::Request, "sentInPause",
                {{"backend", attempt.backend.text()},
                 {"chosenAfterMs", sinceTold(attempt.chosenAt)},
                 {"sentAfterMs", sinceTold(attempt.sentAt)}});
}

void IntakeTracker::readColdTime(const RegisteredBackend &backend, const AnsweredAttempt &attempt,
                                 const http::AnswerHead &head, const FieldNames &names)
{
    const auto stated = statedColdTime(head, names);
    if (!stated) {
        return;
    }
    const auto *remaining = std::get_if<core::Duration>(&*stated);
    if (remaining == nullptr) {
        m_metrics.increment(report::Counter::ColdTimesInvalid);
        reportUnreadable(backend.id, "coldTime");
        return;
    }
    m_cold.answered({backend.id, backend.service, attempt.startedAtMs, *remaining, attempt.sentAt}, m_clock.now());
}

void IntakeTracker::readRetryDelay(const AnsweredAttempt &attempt, const http::AnswerHead &head)
{
    const auto &id = attempt.backend;
    const auto delay = statedRetryDelay(head);
    if (!delay) {
        return;
    }
    const auto *seconds = std::get_if<double>(&*delay);
    if (seconds == nullptr) {
        reportUnreadable(id, "retryAfter");
        return;
    }
    const auto now = m_clock.now();
    const std::chrono::duration<double> bounded(std::min(*seconds, maxRetryDelaySeconds));
    const auto time = std::chrono::duration_cast<core::Duration>(bounded);
    reportIgnoredPause(attempt, now);
    if (m_backends.recordTurnedAway({id, attempt.startedAtMs, now + time}, now)) {
        m_metrics.increment(report::Counter::BackendTurnAways);
        m_log.write(LogImportance::State, "backendTurnedAway",
                    {{"backend", id.text()},
                     {"retryAfterMs", std::chrono::duration_cast<std::chrono::milliseconds>(time).count()}});
    }
}

void IntakeTracker::readLimit(const RegisteredBackend &backend, const http::AnswerHead &head, const FieldNames &names,
                              core::TimePoint sentAt)
{
    const auto now = m_clock.now();
    const auto &id = backend.id;
    const auto limit = statedLimit(head, names);
    if (limit && std::holds_alternative<std::monostate>(*limit)) {
        reportUnreadable(id, "requestLimit");
        return;
    }
    LimitReport report{id, backend.startedAtMs, std::nullopt, sentAt};
    if (limit) {
        report.perSecond = std::get<double>(*limit);
        report.time = now;
    }
    if (applyChange(report) && m_onReport) {
        m_onReport(report);
    }
}

void IntakeTracker::apply(const LimitReport &report)
{
    const auto backend = m_backends.all().find(report.backend);
    if (backend != m_backends.all().end() && backend->second.startedAtMs == report.startedAtMs) {
        applyChange(report);
    }
}

bool IntakeTracker::applyChange(const LimitReport &report)
{
    using decisions::intake::LimitChange;
    auto &intake = m_backends.intake();
    const auto now = m_clock.now();
    const auto &id = report.backend;
    if (report.perSecond) {
        const auto &service = m_backends.all().at(id).service;
        if (intake.limitStated({id, service, *report.perSecond, report.time}, now) == LimitChange::None) {
            return false;
        }
        m_metrics.increment(report::Counter::BackendLimitsStated);
        m_log.write(LogImportance::State, "backendLimited",
                    {{"backend", id.text()}, {"requestsPerMinute", perMinute(*report.perSecond)}});
        return true;
    }
    const auto ended = intake.noLimitStated(id, report.time, now);
    if (ended) {
        const auto duration = std::chrono::duration_cast<std::chrono::milliseconds>(ended->duration);
        m_log.write(LogImportance::State, "backendLimitEnded",
                    {{"backend", id.text()},
                     {"limitedMs", duration.count()},
                     {"sent", static_cast<std::int64_t>(ended->sent)}});
    }
    return ended.has_value();
}

} // namespace lycheelanding::forwarding

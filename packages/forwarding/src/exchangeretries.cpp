#include "lycheelanding/forwarding/forwardedexchange.h"

#include <algorithm>
#include <utility>

namespace lycheelanding::forwarding {

using namespace decisions::attempts;

void ForwardedExchange::cancelHeldAttempt()
{
    if (!m_attempt || m_attempt->bodyParts() > 0) {
        return;
    }
    if (const auto error = m_resources.requestGuard.holdError(m_terms.features)) {
        const auto attempt = m_attempt->number();
        endAttempt(Outcome::Cancelled);
        execute(m_attempts->lost(attempt, *error, now()));
    }
}

std::optional<ReservedBackend> ForwardedExchange::reserveReplacement(const core::Error &error,
                                                                     core::Duration inactivity)
{
    auto request = backendRequirements();
    request.inactivity = inactivity;
    auto failed = failedAttempt(error, core::Ran::Unknown);
    failed.expectedDuration = m_limits.resumeTime;
    const bool isAllowed = !retryDenial() && m_resources.retries.allowsRetry(m_terms.service, failed, now());
    return isAllowed ? reserveBackend(request) : std::nullopt;
}

void ForwardedExchange::replaceInactiveAttempt()
{
    if (!m_attempt || !m_attempt->hasOpenConnection()) {
        return;
    }
    const auto inactivity = now() - std::max(m_times.last().value_or(m_arrival), m_attempt->startedAt());
    const auto error = inactivityError(m_limits, inactivity, m_answer.hasBegun(),
                                       m_resources.backends.isUnresponsive(m_attempt->backend(), now()));
    if (!error) {
        return;
    }
    // The replacement is reserved first, since the inactive attempt may still be the only one that can finish.
    m_replacement = reserveReplacement(*error, inactivity);
    if (!m_replacement) {
        return;
    }
    const auto attempt = m_attempt->number();
    endAttempt(Outcome::Failed);
    execute(m_attempts->lost(attempt, *error, now()));
    if (const auto unused = std::exchange(m_replacement, std::nullopt)) {
        m_resources.backends.recordAttemptEnd(unused->attempt, Outcome::Cancelled, now());
    }
}

std::optional<RetryDenial> ForwardedExchange::retryDenial() const
{
    if (!m_resources.drain.isSending()) {
        return RetryDenial::Stopping;
    }
    if (m_tried.size() >= m_terms.route->maxAttempts) {
        return RetryDenial::AttemptsUsed;
    }
    if (m_resources.requestGuard.holdError(m_terms.features)) {
        return RetryDenial::RequestHeld;
    }
    const bool canResume = !m_answer.hasBegun() || m_answer.lastEvent();
    return canResume ? std::nullopt : std::optional(RetryDenial::NotResumable);
}

decisions::retry::FailedAttempt ForwardedExchange::failedAttempt(const core::Error &error, core::Ran ran) const
{
    return {static_cast<std::uint32_t>(m_tried.size()), error, ran, m_terms.route->isIdempotent(), m_terms.deadline};
}

FailedAttemptLine ForwardedExchange::failedAttemptLine(const core::Error &error) const
{
    return {error, m_tried.back().text(), m_tried.size(), joinedText(m_terms.features.promptParts),
            m_terms.features.digest.text()};
}

void ForwardedExchange::execute(const RetryPossible &action)
{
    if (const auto denial = retryDenial()) {
        m_log.writeRetryDenied(*denial, failedAttemptLine(action.error));
        execute(m_attempts->giveUp(action.error));
        return;
    }
    if (m_answer.hasBegun()) {
        m_limits = waitLimitsOf(*m_terms.route, now(), m_terms.deadline);
    }
    const auto decision
        = m_resources.retries.attemptFailed(m_terms.service, failedAttempt(action.error, action.ran), now());
    if (const auto *giveUp = std::get_if<decisions::retry::GiveUp>(&decision)) {
        m_resources.metrics.increment(report::Counter::RetriesDeniedByBudget);
        m_log.writeRetryDenied(RetryDenial::Policy, failedAttemptLine(giveUp->error));
        execute(m_attempts->giveUp(giveUp->error));
        return;
    }
    m_resources.metrics.increment(report::Counter::RetriesSent);
    m_log.writeRetry(failedAttemptLine(action.error));
    if (const auto replacement = std::exchange(m_replacement, std::nullopt)) {
        // The backoff would only delay an attempt whose place is reserved.
        beginAttempt(*replacement);
        return;
    }
    m_retryTimer.expires_after(std::get<decisions::retry::RetryAfter>(decision).delay);
    m_retryTimer.async_wait([self = shared_from_this()](const auto &error) {
        if (!error && !self->m_isFinished) {
            self->startAttempt();
        }
    });
}

} // namespace lycheelanding::forwarding

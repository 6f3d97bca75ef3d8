#include "lycheelanding/decisions/retry/retrypolicy.h"

#include <algorithm>

namespace lycheelanding::decisions::retry {

namespace {

constexpr std::uint32_t maxDoublings = 6;
// The budget is counted in hundredths of a retry, as integers, to avoid rounding errors.
constexpr std::uint32_t retryCostPercent = 100;

bool isRetrySafe(const FailedAttempt &failed)
{
    return failed.ran == core::Ran::No || failed.isIdempotent;
}

// Errors caused by the request itself or by the limits of its caller would occur at any other backend server too.
bool isRetryable(core::ErrorKind kind)
{
    switch (kind) {
    case core::ErrorKind::Overloaded:
    case core::ErrorKind::NoBackendServer:
    case core::ErrorKind::Draining:
    case core::ErrorKind::BackendServerLost:
    case core::ErrorKind::BackendServerFailed:
    case core::ErrorKind::AnswerTruncated:
    case core::ErrorKind::AnswerMalformed:
    case core::ErrorKind::ConfigurationStale:
    case core::ErrorKind::ProtocolMismatch:
    case core::ErrorKind::PeerUnreachable:
        return true;
    default:
        return false;
    }
}

std::uint32_t doublingsBefore(std::uint32_t attempt)
{
    return std::min(std::max(attempt, 1U) - 1U, maxDoublings);
}

} // namespace

RetryPolicy::RetryPolicy(RetrySettings settings, std::uint64_t seed)
    : m_settings(settings), m_random(seed), m_balancePercent(settings.initialBalance * retryCostPercent)
{ }

void RetryPolicy::firstAttemptSent()
{
    m_balancePercent = std::min(m_balancePercent + m_settings.budgetPercent, m_settings.maxBalance * retryCostPercent);
}

bool RetryPolicy::isWithinLimits(const FailedAttempt &failed) const
{
    return isRetrySafe(failed) && isRetryable(failed.error.kind) && failed.attempt < m_settings.maxAttempts
        && m_balancePercent >= retryCostPercent;
}

bool RetryPolicy::allowsRetry(const FailedAttempt &failed, core::TimePoint now) const
{
    const auto maxDelay = m_settings.maxBaseDelay * (1U << doublingsBefore(failed.attempt));
    return isWithinLimits(failed) && now + maxDelay + failed.expectedDuration < failed.deadline;
}

RetryDecision RetryPolicy::attemptFailed(const FailedAttempt &failed, core::TimePoint now)
{
    if (!isWithinLimits(failed)) {
        return GiveUp{failed.error};
    }
    const core::Duration delay = backoffDelay(failed.attempt);
    if (now + delay + failed.expectedDuration >= failed.deadline) {
        return GiveUp{failed.error};
    }
    m_balancePercent -= retryCostPercent;
    return RetryAfter{delay};
}

core::Duration RetryPolicy::backoffDelay(std::uint32_t attempt)
{
    const std::uint32_t doublings = doublingsBefore(attempt);
    const auto minDelay = m_settings.minBaseDelay * (1U << doublings);
    const auto maxDelay = m_settings.maxBaseDelay * (1U << doublings);
    return minDelay + std::chrono::duration_cast<core::Duration>((maxDelay - minDelay) * m_random.nextUnit());
}

} // namespace lycheelanding::decisions::retry

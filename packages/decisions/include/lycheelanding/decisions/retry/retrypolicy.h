#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/random.h"
#include "lycheelanding/core/result.h"

#include <cstdint>
#include <variant>

/// Decides whether and when a failed attempt of a request is retried.
namespace lycheelanding::decisions::retry {

struct RetrySettings
{
    std::uint32_t maxAttempts = 3;
    /// Percentage of a retry that each first attempt adds to the budget.
    std::uint32_t budgetPercent = 10;
    /// Retries in the budget of an entry that has just started.
    std::uint32_t initialBalance = 3;
    /// Retries that the budget can accumulate, and so the largest burst of retries.
    std::uint32_t maxBalance = 10;
    /// Bounds of the random delay before the first retry; both double with each further retry.
    core::Duration minBaseDelay = std::chrono::milliseconds(5);
    core::Duration maxBaseDelay = std::chrono::milliseconds(25);
};

struct FailedAttempt
{
    /// Counted from 1.
    std::uint32_t attempt = 1;
    core::Error error;
    /// Whether the backend server may have executed the attempt.
    core::Ran ran = core::Ran::Unknown;
    bool isIdempotent = false;
    core::TimePoint deadline;
    /// Time that a further attempt is expected to take; it must end before the deadline.
    core::Duration expectedDuration = core::Duration::zero();
};

struct RetryAfter
{
    core::Duration delay;
};

struct GiveUp
{
    core::Error error;
};

using RetryDecision = std::variant<RetryAfter, GiveUp>;

/// Retry policy of one entry: retries only requests that are idempotent or provably did not run, within their deadline
/// and a retry budget.
class RetryPolicy
{
public:
    RetryPolicy(RetrySettings settings, std::uint64_t seed);

    /// Replaces the settings; the balance of the budget is kept.
    void configure(const RetrySettings &settings) { m_settings = settings; }

    /// The first attempt of a request was sent: adds budgetPercent of a retry to the budget.
    void firstAttemptSent();
    /// Whether attemptFailed() is certain to decide RetryAfter now, whatever delay it draws.
    bool allowsRetry(const FailedAttempt &failed, core::TimePoint now) const;
    /// Takes one retry from the budget if the decision is RetryAfter.
    RetryDecision attemptFailed(const FailedAttempt &failed, core::TimePoint now);

    /// Retries that the budget allows now.
    std::uint32_t balance() const { return m_balancePercent / 100; }

private:
    bool isWithinLimits(const FailedAttempt &failed) const;
    core::Duration backoffDelay(std::uint32_t attempt);

    RetrySettings m_settings;
    core::RandomSequence m_random;
    std::uint32_t m_balancePercent = 0;
};

} // namespace lycheelanding::decisions::retry

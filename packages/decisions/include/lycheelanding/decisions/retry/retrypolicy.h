#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/random.h"
#include "lycheelanding/core/result.h"

#include <cstdint>
#include <variant>

/// Whether and when a failed attempt of a request is repeated.
namespace lycheelanding::decisions::retry {

struct RetrySettings
{
    std::uint32_t maxAttempts = 3;
    /// Part of a retry, in percent, that each first attempt pays for.
    std::uint32_t budgetPercent = 10;
    /// Retries that a new entry may spend before it has sent anything.
    std::uint32_t initialBalance = 3;
    /// Retries that may be saved up; also the bound of a burst.
    std::uint32_t maxBalance = 10;
    /// Bounds of the pause before the first retry; each further one doubles them.
    core::Duration minBaseDelay = std::chrono::milliseconds(5);
    core::Duration maxBaseDelay = std::chrono::milliseconds(25);
};

struct FailedAttempt
{
    /// Counted from 1.
    std::uint32_t attempt = 1;
    core::Error error;
    /// Whether the attempt reached the backend server, as far as is known.
    core::Ran ran = core::Ran::Unknown;
    bool idempotent = false;
    core::TimePoint deadline;
    /// Time that a further attempt needs to be of use.
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

/// Retries of one entry: only idempotent or provably not-run work, within the deadline and a budget.
class RetryPolicy
{
public:
    RetryPolicy(RetrySettings settings, std::uint64_t seed);

    /// Other settings hold from now on; the balance stays.
    void configure(const RetrySettings &settings) { m_settings = settings; }

    /// The first attempt of a request was sent; earns its part of the budget.
    void firstAttemptSent();
    /// Spends from the budget when the answer is RetryAfter.
    RetryDecision attemptFailed(const FailedAttempt &failed, core::TimePoint now);

    /// Retries that the budget allows now.
    std::uint32_t balance() const { return m_balancePercent / 100; }

private:
    core::Duration backoffDelay(std::uint32_t attempt);

    RetrySettings m_settings;
    core::RandomSequence m_random;
    std::uint32_t m_balancePercent = 0;
};

} // namespace lycheelanding::decisions::retry

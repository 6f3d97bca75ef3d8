#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"
#include "lycheelanding/decisions/retry/retrypolicy.h"

#include <cstdint>
#include <map>

namespace lycheelanding::forwarding {

/// What all entries together may repeat at one service.
struct SharedRetryBudget
{
    /// Part of the requests, in percent, that may be repeated.
    std::uint32_t percent = 20;
    /// Repeats in one window beyond that part.
    std::uint32_t slack = 40;
    /// Entries among which the slack is divided; more of them than may ever run at a time.
    std::uint32_t maxEntries = 8;
};

/// The retry policy of each service. The slack is split evenly, so that the budget holds even when all entries spend
/// their part at once; no message between them is needed.
class RetryBudgets
{
public:
    RetryBudgets(const SharedRetryBudget &budget, std::uint64_t seed) : m_budget(budget), m_seed(seed) { }

    void firstAttemptSent(const core::ServiceId &service) { policyOf(service).firstAttemptSent(); }
    decisions::retry::RetryDecision attemptFailed(const core::ServiceId &service,
                                                  const decisions::retry::FailedAttempt &failed, core::TimePoint now)
    {
        return policyOf(service).attemptFailed(failed, now);
    }

private:
    decisions::retry::RetryPolicy &policyOf(const core::ServiceId &service);

    const SharedRetryBudget m_budget;
    const std::uint64_t m_seed;
    std::map<core::ServiceId, decisions::retry::RetryPolicy> m_policies;
};

} // namespace lycheelanding::forwarding

#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"
#include "lycheelanding/decisions/retry/retrypolicy.h"

#include <cstdint>
#include <map>

namespace lycheelanding::forwarding {

/// Limit of the retries that all entries together send to one service.
struct SharedRetryBudget
{
    /// Retries allowed in percent of the requests.
    std::uint32_t percent = 20;
    /// Additional retries allowed in one window.
    std::uint32_t slack = 40;
    /// Number of entries among which the slack is divided; it must not be less than the number that run at the same
    /// time.
    std::uint32_t maxEntries = 8;
};

/// The retry policy of each service. The slack is split evenly among the entries, so that the budget is kept even when
/// all of them spend their share at once, without messages between them.
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

    bool allowsRetry(const core::ServiceId &service, const decisions::retry::FailedAttempt &failed, core::TimePoint now)
    {
        return policyOf(service).allowsRetry(failed, now);
    }

private:
    decisions::retry::RetryPolicy &policyOf(const core::ServiceId &service);

    const SharedRetryBudget m_budget;
    const std::uint64_t m_seed;
    std::map<core::ServiceId, decisions::retry::RetryPolicy> m_policies;
};

} // namespace lycheelanding::forwarding

#pragma once

#include "lycheelanding/configuration/configurationdocument.h"
#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/retry/retrypolicy.h"

#include <mutex>

namespace lycheelanding::daemon::entry {

/// The retry policy and retry budget of this entry, shared by all workers.
class SharedRetryPolicy
{
public:
    SharedRetryPolicy(const decisions::retry::RetrySettings &settings, std::uint64_t seed);

    /// Replaces the settings; the balance of the budget is kept.
    void setConfiguration(const configuration::Retries &retries);
    void firstAttemptSent();
    decisions::retry::RetryDecision attemptFailed(const decisions::retry::FailedAttempt &failed);

private:
    core::SystemClock m_clock;
    std::mutex m_mutex;
    decisions::retry::RetryPolicy m_policy;
};

} // namespace lycheelanding::daemon::entry

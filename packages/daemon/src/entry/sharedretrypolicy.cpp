#include "entry/sharedretrypolicy.h"

#include <cmath>

namespace lycheelanding::daemon::entry {

SharedRetryPolicy::SharedRetryPolicy(const decisions::retry::RetrySettings &settings, std::uint64_t seed)
    : m_policy(settings, seed)
{ }

void SharedRetryPolicy::setConfiguration(const configuration::Retries &retries)
{
    constexpr double percent = 100.0;
    // Ratio of the maximum to the minimum of the random delay.
    constexpr std::uint32_t delaySpread = 5;
    decisions::retry::RetrySettings settings;
    settings.maxAttempts = retries.maxAttempts;
    settings.budgetPercent = static_cast<std::uint32_t>(std::lround(retries.budgetRatio * percent));
    settings.maxBaseDelay = std::chrono::milliseconds(retries.baseDelayMs);
    settings.minBaseDelay = settings.maxBaseDelay / delaySpread;
    const std::scoped_lock lock(m_mutex);
    m_policy.configure(settings);
}

void SharedRetryPolicy::firstAttemptSent()
{
    const std::scoped_lock lock(m_mutex);
    m_policy.firstAttemptSent();
}

decisions::retry::RetryDecision SharedRetryPolicy::attemptFailed(const decisions::retry::FailedAttempt &failed)
{
    const std::scoped_lock lock(m_mutex);
    return m_policy.attemptFailed(failed, m_clock.now());
}

} // namespace lycheelanding::daemon::entry

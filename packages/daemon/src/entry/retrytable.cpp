#include "entry/retrytable.h"

#include <cmath>

namespace lycheelanding::daemon::entry {

RetryTable::RetryTable(const decisions::retry::RetrySettings &settings, std::uint64_t seed) : m_policy(settings, seed)
{ }

void RetryTable::setConfiguration(const configuration::Retries &retries)
{
    constexpr double percent = 100.0;
    // The jitter spreads the pause over this many to one.
    constexpr std::uint32_t pauseSpread = 5;
    decisions::retry::RetrySettings settings;
    settings.maxAttempts = retries.maxAttempts;
    settings.budgetPercent = static_cast<std::uint32_t>(std::lround(retries.budgetRatio * percent));
    settings.maxBaseDelay = std::chrono::milliseconds(retries.baseDelayMs);
    settings.minBaseDelay = settings.maxBaseDelay / pauseSpread;
    const std::scoped_lock lock(m_mutex);
    m_policy.configure(settings);
}

void RetryTable::firstAttemptSent()
{
    const std::scoped_lock lock(m_mutex);
    m_policy.firstAttemptSent();
}

decisions::retry::RetryDecision RetryTable::attemptFailed(const decisions::retry::FailedAttempt &failed)
{
    const std::scoped_lock lock(m_mutex);
    return m_policy.attemptFailed(failed, m_clock.now());
}

} // namespace lycheelanding::daemon::entry

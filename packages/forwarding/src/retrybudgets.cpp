#include "lycheelanding/forwarding/retrybudgets.h"

#include "lycheelanding/core/stablehash.h"

#include <algorithm>
#include <limits>

namespace lycheelanding::forwarding {

decisions::retry::RetryPolicy &RetryBudgets::policyOf(const core::ServiceId &service)
{
    const auto known = m_policies.find(service);
    if (known != m_policies.end()) {
        return known->second;
    }
    // In one window an entry can spend a full balance plus what its requests earn. A restarted entry begins with a full
    // balance again, so half of its share is reserved for that.
    const std::uint32_t share = std::max(m_budget.slack / std::max(m_budget.maxEntries, 1U) / 2, 1U);
    decisions::retry::RetrySettings settings;
    // The route limits the attempts of a request.
    settings.maxAttempts = std::numeric_limits<std::uint32_t>::max();
    settings.budgetPercent = m_budget.percent;
    settings.initialBalance = share;
    settings.maxBalance = share;
    const auto seed = m_seed ^ core::stableHash(service.text());
    return m_policies.emplace(service, decisions::retry::RetryPolicy(settings, seed)).first->second;
}

} // namespace lycheelanding::forwarding

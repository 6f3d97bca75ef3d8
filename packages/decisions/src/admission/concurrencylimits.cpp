#include "lycheelanding/decisions/admission/concurrencylimits.h"

namespace lycheelanding::decisions::admission {

void ConcurrencyLimits::configure(const LimiterSettings &settings)
{
    m_settings = settings;
    for (auto &[vm, limiter] : m_limiters) {
        limiter.configure(settings);
    }
}

void ConcurrencyLimits::setServers(const std::vector<core::VmId> &vms)
{
    std::map<core::VmId, ConcurrencyLimiter> limiters;
    for (const auto &vm : vms) {
        const auto known = m_limiters.find(vm);
        limiters.emplace(vm, known == m_limiters.end() ? ConcurrencyLimiter(m_settings) : known->second);
    }
    m_limiters = std::move(limiters);
}

void ConcurrencyLimits::requestSent(const core::VmId &vm)
{
    const auto found = m_limiters.find(vm);
    if (found != m_limiters.end()) {
        found->second.requestSent();
    }
}

void ConcurrencyLimits::firstToken(const core::VmId &vm, core::Duration latency, core::TimePoint now)
{
    const auto found = m_limiters.find(vm);
    if (found != m_limiters.end()) {
        found->second.firstToken(latency, now);
    }
}

void ConcurrencyLimits::requestEnded(const core::VmId &vm, bool overloaded, core::TimePoint now)
{
    const auto found = m_limiters.find(vm);
    if (found != m_limiters.end()) {
        found->second.requestEnded(overloaded, now);
    }
}

std::vector<core::VmId> ConcurrencyLimits::saturated() const
{
    std::vector<core::VmId> vms;
    for (const auto &[vm, limiter] : m_limiters) {
        if (!limiter.hasCapacity()) {
            vms.push_back(vm);
        }
    }
    return vms;
}

std::size_t ConcurrencyLimits::limit(const core::VmId &vm) const
{
    const auto found = m_limiters.find(vm);
    return found == m_limiters.end() ? 0 : found->second.limit();
}

} // namespace lycheelanding::decisions::admission

#pragma once

#include "lycheelanding/core/ids.h"
#include "lycheelanding/decisions/admission/concurrencylimiter.h"

#include <map>
#include <vector>

namespace lycheelanding::decisions::admission {

/// The concurrency limiters of all backend servers to which one entry sends.
class ConcurrencyLimits
{
public:
    explicit ConcurrencyLimits(LimiterSettings settings) : m_settings(settings) { }

    /// Replaces the settings for the current backend servers and for those added later.
    void configure(const LimiterSettings &settings);
    /// Replaces the set of backend servers; those that remain keep their limits.
    void setServers(const std::vector<core::VmId> &vms);
    void requestSent(const core::VmId &vm);
    void firstToken(const core::VmId &vm, core::Duration latency, core::TimePoint now);
    void requestEnded(const core::VmId &vm, bool overloaded, core::TimePoint now);

    /// Backend servers at their concurrency limit, to be listed in RouteRequest::excluded.
    std::vector<core::VmId> saturated() const;
    /// 0 for an unknown backend server.
    std::size_t limit(const core::VmId &vm) const;

private:
    LimiterSettings m_settings;
    std::map<core::VmId, ConcurrencyLimiter> m_limiters;
};

} // namespace lycheelanding::decisions::admission

#pragma once

#include "lycheelanding/core/ids.h"
#include "lycheelanding/decisions/admission/concurrencylimiter.h"

#include <map>
#include <vector>

namespace lycheelanding::decisions::admission {

/// The concurrency limits of all backend servers that one entry sends to.
class ConcurrencyLimits
{
public:
    explicit ConcurrencyLimits(LimiterSettings settings) : m_settings(settings) { }

    /// Takes over new settings for all backend servers, now and later.
    void configure(const LimiterSettings &settings);
    /// Keeps the limits of the backend servers that stay.
    void setServers(const std::vector<core::VmId> &vms);
    void requestSent(const core::VmId &vm);
    void firstToken(const core::VmId &vm, core::Duration latency, core::TimePoint now);
    void requestEnded(const core::VmId &vm, bool overloaded, core::TimePoint now);

    /// Backend servers that may get no further request now; they belong into RouteRequest::excluded.
    std::vector<core::VmId> saturated() const;
    std::size_t limit(const core::VmId &vm) const;

private:
    LimiterSettings m_settings;
    std::map<core::VmId, ConcurrencyLimiter> m_limiters;
};

} // namespace lycheelanding::decisions::admission

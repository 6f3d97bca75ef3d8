#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/intake/coldbackends.h"
#include "lycheelanding/forwarding/backendset.h"
#include "lycheelanding/forwarding/eventlog.h"
#include "lycheelanding/report/metrics.h"

#include <map>
#include <vector>

namespace lycheelanding::forwarding {

/// In no second may a cold backend server get more requests than its rate times `overage`, and `slack` more.
struct ColdBounds
{
    double overage = 1.5;
    double slack = 5.0;
};

/// Applies what registrations, answers and the configuration say of cold backend servers to the backend set. Logs their
/// changes. Used on one thread.
class ColdTracker
{
public:
    ColdTracker(BackendSet &backends, EventLog &log, report::Metrics &metrics)
        : m_backends(backends), m_log(log), m_metrics(metrics)
    { }

    void setBounds(const ColdBounds &bounds) { m_bounds = bounds; }
    void configure(const std::vector<Service> &services, core::TimePoint now);
    void registered(const decisions::intake::ColdRegistration &registration, core::TimePoint now);
    void answered(const decisions::intake::ColdAnswer &answer, core::TimePoint now);
    /// Reports backend servers that have become warm; to be called several times a second.
    void tick(core::TimePoint now);

private:
    void apply(const decisions::intake::ColdChanges &changes, core::TimePoint now);
    void apply(const decisions::intake::BackendCold &cold, core::TimePoint now);
    void apply(const decisions::intake::BackendWarm &warm, core::TimePoint now);

    BackendSet &m_backends;
    EventLog &m_log;
    report::Metrics &m_metrics;
    ColdBounds m_bounds;
    std::map<core::ServiceId, decisions::intake::ColdTerms> m_terms;
    decisions::intake::ColdBackends m_cold;
};

} // namespace lycheelanding::forwarding

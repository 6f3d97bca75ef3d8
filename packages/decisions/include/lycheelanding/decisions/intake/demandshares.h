#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace lycheelanding::decisions::intake {

/// Requests per second of a service that arrive at one entry.
struct ServiceDemand
{
    core::ServiceId service;
    double perSecond = 0.0;

    bool operator==(const ServiceDemand &) const = default;
};

/// The sum over the entries that have reported their demand.
struct TotalDemand
{
    core::ServiceId service;
    double perSecond = 0.0;
    std::size_t entries = 0;

    bool operator==(const TotalDemand &) const = default;
};

/// This entry's part of the demand for each service: callers do not spread evenly over the entries.
class DemandShares
{
public:
    void requestArrived(const core::ServiceId &service, core::TimePoint now);
    /// The demand to report to the other entries.
    ServiceDemand report(const core::ServiceId &service, core::TimePoint now);
    void totalReported(const TotalDemand &total, core::TimePoint now);
    /// In (0, 1]; an even share while the others' demand is not known.
    double fraction(const core::ServiceId &service, std::size_t entries, core::TimePoint now) const;

private:
    struct Demand
    {
        /// Arrivals, each counted less the longer ago it was.
        double weightedArrivals = 0.0;
        core::TimePoint weightedAt;
        double reported = 0.0;
        std::optional<TotalDemand> total;
        core::TimePoint totalAt;
    };

    static void decay(Demand &demand, core::TimePoint now);

    std::map<core::ServiceId, Demand> m_demands;
};

} // namespace lycheelanding::decisions::intake

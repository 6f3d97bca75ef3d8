#include "lycheelanding/decisions/intake/demandshares.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lycheelanding::decisions::intake {

namespace {

using Seconds = std::chrono::duration<double>;

/// Time constant of the arrival rate.
constexpr Seconds averagingTime{2.0};
/// A total that is older is not used: its entries, or the sides that add it up, may be gone.
constexpr core::Duration totalTimeToLive = std::chrono::seconds(3);
/// Fraction that is shared evenly, so that an entry at which requests begin to arrive need not wait for its first turn.
constexpr double evenFraction = 0.1;

} // namespace

void DemandShares::decay(Demand &demand, core::TimePoint now)
{
    const Seconds passed = std::max(now - demand.weightedAt, core::Duration::zero());
    demand.weightedArrivals *= std::exp(-passed / averagingTime);
    demand.weightedAt = now;
}

void DemandShares::requestArrived(const core::ServiceId &service, core::TimePoint now)
{
    auto &demand = m_demands[service];
    decay(demand, now);
    demand.weightedArrivals += 1.0;
}

ServiceDemand DemandShares::report(const core::ServiceId &service, core::TimePoint now)
{
    auto &demand = m_demands[service];
    decay(demand, now);
    demand.reported = demand.weightedArrivals / averagingTime.count();
    return {service, demand.reported};
}

void DemandShares::totalReported(const TotalDemand &total, core::TimePoint now)
{
    auto &demand = m_demands[total.service];
    demand.total = total;
    demand.totalAt = now;
}

double DemandShares::fraction(const core::ServiceId &service, std::size_t entries, core::TimePoint now) const
{
    const auto all = static_cast<double>(std::max<std::size_t>(entries, 1));
    const auto found = m_demands.find(service);
    const bool isKnown = found != m_demands.end() && found->second.total
        && now - found->second.totalAt < totalTimeToLive && found->second.total->entries > 0;
    if (!isKnown) {
        return 1.0 / all;
    }
    const auto &demand = found->second;
    // Entries that have not reported yet count as average ones.
    const double mean = std::max(demand.total->perSecond, demand.reported) / static_cast<double>(demand.total->entries);
    const double proportional = mean > 0.0 ? std::min(demand.reported / (mean * all), 1.0) : 1.0 / all;
    return evenFraction / all + (1.0 - evenFraction) * proportional;
}

} // namespace lycheelanding::decisions::intake

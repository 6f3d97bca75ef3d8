#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace lycheelanding::decisions::admission {

/// Inputs of a forecast, for the log.
struct QueueRates
{
    /// Arrivals of the level's priority and of more urgent ones.
    double arrivalsPerSecond = 0.0;
    /// Requests of any priority that have got a place at a backend server.
    double sentPerSecond = 0.0;
};

/// The requests of a service that have a priority or a more urgent one; 0 is the most urgent.
struct QueueLevel
{
    const core::ServiceId &service;
    std::uint32_t priority = 0;
};

/// Forecasts, for each service and priority, how long the queue of an entry needs to drain: from the rates at which
/// requests arrive and get places at backend servers. Less urgent requests do not delay more urgent ones.
class QueueForecast
{
public:
    void requestArrived(const core::ServiceId &service, std::uint32_t priority, core::TimePoint now);
    void requestSent(const core::ServiceId &service, core::TimePoint now);
    QueueRates rates(const QueueLevel &level, core::TimePoint now) const;
    /// The time until `waiting` requests have got places while others keep arriving; nullopt if the queue grows.
    std::optional<core::Duration> drainTime(const QueueLevel &level, std::size_t waiting, core::TimePoint now) const;
    /// The time after which a refused caller is told to return. Returns are spaced so that they take a fixed part of
    /// the rate at which requests get places; `maxDelay`: callers do not wait longer.
    core::Duration nextReturn(const QueueLevel &level, core::Duration maxDelay, core::TimePoint now);

private:
    /// A rate of events, each of which counts less the longer ago it was.
    struct DecayingRate
    {
        void record(core::TimePoint now);
        double perSecond(core::TimePoint now) const;

        double weight = 0.0;
        core::TimePoint updatedAt;
    };

    struct ServiceRates
    {
        std::map<std::uint32_t, DecayingRate> arrivalsByPriority;
        DecayingRate sent;
        /// Return time of the caller that was refused last.
        core::TimePoint lastReturn;
    };

    std::map<core::ServiceId, ServiceRates> m_services;
};

} // namespace lycheelanding::decisions::admission

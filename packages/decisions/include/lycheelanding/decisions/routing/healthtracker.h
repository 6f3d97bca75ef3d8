#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"
#include "lycheelanding/core/random.h"

#include <cstdint>
#include <map>
#include <vector>

namespace lycheelanding::decisions::routing {

enum class Availability : std::uint8_t {
    Available,
    /// Was set aside and may take one request that tests it.
    Probe,
    Ejected,
};

struct HealthSettings
{
    /// Failures in a row that set a backend server aside.
    std::uint32_t consecutiveFailureThreshold = 3;
    /// Smoothed share of failures that sets a backend server aside.
    double failureRateThreshold = 0.5;
    /// Weight of the latest outcome in the smoothed share.
    double outcomeWeight = 0.1;
    core::Duration baseEjectionTime = std::chrono::seconds(1);
    core::Duration maxEjectionTime = std::chrono::seconds(30);
    /// Steady health after which an earlier pause no longer lengthens the next one.
    core::Duration ejectionResetAfter = std::chrono::seconds(30);
    /// Time in which a returning backend server is led back to its full share.
    core::Duration slowStartWindow = std::chrono::seconds(5);
    /// Least time without any sign of work, while requests are in flight, after which a backend server counts as
    /// stalled; where its usual delay is longer, a multiple of that.
    core::Duration stallTimeout = std::chrono::milliseconds(500);
    /// The same before anything is known of its usual delay.
    core::Duration initialStallTimeout = std::chrono::seconds(5);
    /// At most this part of all backend servers is set aside or left out as stalled.
    double maxEjectedFraction = 0.5;
};

/// Sets failing and stalled backend servers aside and tests them with single requests before they return.
class HealthTracker
{
public:
    HealthTracker(HealthSettings settings, std::uint64_t seed);

    /// Keeps what is known of the backend servers that stay.
    void setServers(const std::vector<core::VmId> &vms);
    void requestSent(const core::VmId &vm, bool probe, core::TimePoint now);
    /// Any sign of work: a token or an end of an answer.
    void progressed(const core::VmId &vm, core::TimePoint now);
    /// The first sign of work for one request came after `delay`.
    void responded(const core::VmId &vm, core::Duration delay);
    void succeeded(const core::VmId &vm, core::TimePoint now);
    void failed(const core::VmId &vm, core::TimePoint now);
    /// A request ended without telling anything about the backend server.
    void released(const core::VmId &vm, core::TimePoint now);

    Availability availability(const core::VmId &vm, core::TimePoint now) const;
    /// Part of its normal load that a backend server should get: below 1 while it is led back.
    double loadFraction(const core::VmId &vm, core::TimePoint now) const;
    /// When the next probe of any backend server set aside is due; `now` when one is due already.
    core::TimePoint nextProbeAt(core::TimePoint now) const;

private:
    struct Server
    {
        std::uint32_t inFlight = 0;
        std::uint32_t consecutiveFailures = 0;
        std::uint32_t ejections = 0;
        double failureRate = 0.0;
        /// Smoothed delay of the first sign of work for a request.
        double meanDelaySeconds = 0.0;
        bool isEjected = false;
        bool probing = false;
        core::TimePoint lastProgress;
        core::TimePoint probeAt;
        core::TimePoint reinstatedAt;
        bool inSlowStart = false;
    };

    bool isStalled(const Server &server, core::TimePoint now) const;
    core::Duration stallTimeout(const Server &server) const;
    /// Whether enough others are in service to do without the backend server.
    bool mayEject(const Server &server, core::TimePoint now) const;
    void eject(Server &server, core::TimePoint now);
    void reinstate(Server &server, core::TimePoint now);
    core::Duration ejectionTime(std::uint32_t earlierEjections);

    HealthSettings m_settings;
    core::RandomSequence m_random;
    std::map<core::VmId, Server> m_servers;
};

} // namespace lycheelanding::decisions::routing

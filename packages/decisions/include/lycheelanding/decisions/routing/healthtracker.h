#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"
#include "lycheelanding/core/random.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lycheelanding::decisions::routing {

enum class Availability : std::uint8_t {
    Available,
    /// Ejected, but due for one request that tests it.
    Probe,
    Ejected,
    /// It wants no requests for some time.
    TurnedAway,
    /// This time has passed, and it is due for one request.
    Return,
    /// It gets no new requests any more.
    Leaving,
};

/// State of a backend server, from the view of one entry:
///
/// | from                 | event                                             | to         |
/// |----------------------|---------------------------------------------------|------------|
/// | InService, SlowStart | failures in a row or at a high rate; no progress  | Ejected    |
/// | InService, SlowStart | progress after it had stalled                     | SlowStart  |
/// | SlowStart            | a success after a time without another ejection   | InService  |
/// | Ejected              | a probe is sent, after the ejection time          | Probing    |
/// | Probing              | a success                                         | SlowStart  |
/// | Probing              | a failure                                         | Ejected    |
/// | Probing              | its requests end without saying anything          | Ejected    |
/// | any but Leaving      | it asks for no requests for some time             | TurnedAway |
/// | TurnedAway           | a request is sent, after that time                | Returning  |
/// | Returning            | a success                                         | SlowStart  |
/// | Returning            | a failure                                         | Ejected    |
/// | Returning            | a request ends without saying anything            | TurnedAway |
/// | any                  | it is known to leave                              | Leaving    |
enum class ServerState : std::uint8_t {
    InService,
    /// In service with a part of its load, which grows.
    SlowStart,
    Ejected,
    Probing,
    TurnedAway,
    /// The first request after the time of TurnedAway is in progress.
    Returning,
    Leaving,
};

struct HealthSettings
{
    /// Consecutive failures at which a backend server is ejected.
    std::uint32_t consecutiveFailureThreshold = 3;
    /// Smoothed failure rate at which a backend server is ejected.
    double failureRateThreshold = 0.5;
    /// Weight of the latest outcome in the smoothed failure rate.
    double outcomeWeight = 0.1;
    /// Duration of the first ejection, before the first probe. Doubles with each further one, up to maxEjectionTime.
    /// A jitter of 25 % in either direction is applied on top.
    core::Duration baseEjectionTime = std::chrono::seconds(1);
    core::Duration maxEjectionTime = std::chrono::seconds(30);
    /// After this long without another ejection, the next one lasts baseEjectionTime again.
    core::Duration ejectionResetAfter = std::chrono::seconds(30);
    /// Time over which the load of a reinstated backend server grows to normal.
    core::Duration slowStartWindow = std::chrono::seconds(5);
    /// A backend server with requests in flight counts as stalled after this long without progress, or after a multiple
    /// of its mean delay if that is longer.
    core::Duration stallTimeout = std::chrono::milliseconds(500);
    /// The stall timeout while the mean delay is unknown.
    core::Duration initialStallTimeout = std::chrono::seconds(5);
    /// At most this fraction of all backend servers is out of service, ejected or stalled, at the same time.
    double maxEjectedFraction = 0.5;
};

/// Outlier ejection: takes failing and stalled backend servers out of service and probes an ejected one with single
/// requests before it is reinstated.
class HealthTracker
{
public:
    HealthTracker(HealthSettings settings, std::uint64_t seed);

    /// Replaces the set of backend servers; those that remain keep their state.
    void setServers(const std::vector<core::VmId> &vms);
    void requestSent(const core::VmId &vm, bool isProbe, core::TimePoint now);
    /// The backend server made progress: a token or the end of an answer arrived.
    void progressed(const core::VmId &vm, core::TimePoint now);
    /// The first token of a request, or its whole answer, arrived after `delay`.
    void responded(const core::VmId &vm, core::Duration delay);
    void succeeded(const core::VmId &vm, core::TimePoint now);
    void failed(const core::VmId &vm, core::TimePoint now);
    /// The backend server wants no requests until then. Returns whether it was not turned away before.
    bool turnedAway(const core::VmId &vm, core::TimePoint until, core::TimePoint now);
    /// When a backend server that wants no requests for some time gets the next one; nullopt for others.
    std::optional<core::TimePoint> returnAt(const core::VmId &vm, core::TimePoint now) const;
    /// The backend server gets no new requests. To use it again, remove it and add it again.
    void leaves(const core::VmId &vm);
    /// A request ended with an outcome that says nothing about the health of the backend server.
    void released(const core::VmId &vm, core::TimePoint now);

    Availability availability(const core::VmId &vm, core::TimePoint now) const;
    /// Fraction of its normal load that a backend server should get; below 1 during slow start.
    double loadFraction(const core::VmId &vm, core::TimePoint now) const;
    /// When the next probe of any ejected backend server is due; `now` if one is due already.
    core::TimePoint nextProbeAt(core::TimePoint now) const;

private:
    struct Server
    {
        std::uint32_t inFlight = 0;
        std::uint32_t consecutiveFailures = 0;
        std::uint32_t ejections = 0;
        double failureRate = 0.0;
        /// Smoothed delay of the first response to a request; 0 while unknown.
        double meanDelaySeconds = 0.0;
        ServerState state = ServerState::InService;
        core::TimePoint lastProgress;
        /// In the states Ejected and TurnedAway: when the next request may be sent.
        core::TimePoint probeAt;
        core::TimePoint reinstatedAt;
    };

    static bool isInService(const Server &server)
    {
        return server.state == ServerState::InService || server.state == ServerState::SlowStart;
    }

    /// Whether a single request finds out how it does.
    static bool isBeingTested(const Server &server);
    bool isStalled(const Server &server, core::TimePoint now) const;
    core::Duration stallTimeout(const Server &server) const;
    /// Whether enough other backend servers are in service to take this one out.
    bool mayEject(const Server &server, core::TimePoint now) const;
    void eject(Server &server, core::TimePoint now);
    static void reinstate(Server &server, core::TimePoint now);
    core::Duration ejectionTime(std::uint32_t earlierEjections);

    HealthSettings m_settings;
    core::RandomSequence m_random;
    std::map<core::VmId, Server> m_servers;
};

} // namespace lycheelanding::decisions::routing

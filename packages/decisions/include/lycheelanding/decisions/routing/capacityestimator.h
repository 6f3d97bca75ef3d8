#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace lycheelanding::decisions::routing {

/// A backend server whose response times are evaluated. Those of one service are compared with each other.
struct EstimatedServer
{
    core::VmId vm;
    core::ServiceId service;
    /// Differs between the incarnations of a backend server.
    std::uint64_t incarnation = 0;
};

/// One request of this entry, from when it was sent to when its answer began or it ended without one.
struct ResponseSample
{
    core::VmId vm;
    std::uint64_t incarnation = 0;
    core::TimePoint sentAt;
    core::Duration responseTime = core::Duration::zero();
    /// Requests of this entry in progress at the backend server when this one was sent, itself included.
    std::size_t inProgress = 1;
};

/// Why a sample was dropped.
enum class SampleDrop : std::uint8_t {
    /// The response time is zero or negative.
    InvalidTime,
    /// No request is in progress, not even the sampled one.
    InvalidCount,
    UnknownServer,
    OtherIncarnation,
    /// The request was sent before the VM of the entry was suspended.
    BeforeSuspension,
    Count,
};

std::string_view nameOf(SampleDrop drop);

/// Estimates from response times how fast each backend server of a plain service is compared with the others of its
/// service, and how many requests this entry may have in progress there. The logarithms of the response times are
/// averaged over a few seconds and over some ten seconds; few samples move an estimate little, according to their
/// scatter.
class CapacityEstimator
{
public:
    /// Replaces the set of backend servers; those that remain in the same incarnation keep their estimates.
    void setServers(const std::vector<EstimatedServer> &servers);

    /// The answer of a request has begun, whatever its status.
    void answered(const ResponseSample &sample, core::TimePoint now);
    /// The request ended without an answer: its response time is a lower bound.
    void failed(const ResponseSample &sample, core::TimePoint now);
    /// The backend server refused the request as it had no capacity.
    void refused(const ResponseSample &sample, core::TimePoint now);
    /// The VM of the entry was suspended: requests that are in progress give no samples.
    void suspended(core::TimePoint now) { m_suspendedAt = now; }

    /// How many times slower than the fastest of its service the backend server is; at least 1.
    double slowness(const core::VmId &vm, core::TimePoint now) const;
    /// Maximum number of requests of this entry in progress at the backend server, at least 1; nullopt without a limit.
    std::optional<std::size_t> limit(const core::VmId &vm, core::TimePoint now) const;

    std::uint64_t acceptedSamples() const { return m_accepted; }
    std::uint64_t droppedSamples() const;
    std::uint64_t droppedSamples(SampleDrop drop) const { return m_dropped[static_cast<std::size_t>(drop)]; }

private:
    /// Mean of values whose weights decay with time.
    struct DecayingMean
    {
        double weight = 0.0;
        double mean = 0.0;
        core::TimePoint updatedAt;

        double weightAt(core::Duration halfLife, core::TimePoint now) const;
        void add(double value, core::Duration halfLife, core::TimePoint now);
    };

    struct Server
    {
        core::ServiceId service;
        std::uint64_t incarnation = 0;
        /// Logarithms of the response time in seconds.
        DecayingMean recent;
        DecayingMean longTerm;
        DecayingMean inProgress;
        /// Minimum of the estimated logarithm in the current and in the previous window.
        std::optional<double> windowMinimum;
        std::optional<double> previousMinimum;
        core::TimePoint windowEnd;
        /// Maximum number of requests of this entry in progress, as of `limitedAt`; it grows from then on.
        std::optional<double> limit;
        core::TimePoint limitedAt;
        core::TimePoint lastDecrease;
    };

    /// Estimated logarithm of a response time.
    struct Estimate
    {
        double value = 0.0;
        double standardError = 0.0;
    };

    /// The server of a valid sample; counts the sample.
    Server *accept(const ResponseSample &sample);
    void drop(SampleDrop reason) { ++m_dropped[static_cast<std::size_t>(reason)]; }
    void record(Server &server, double logSeconds, std::size_t inProgress, core::TimePoint now);
    bool isOverloaded(const Server &server, double serviceMean, core::TimePoint now) const;
    void decreaseLimit(Server &server, core::TimePoint now);
    /// The limit grown until now; nullopt once it has no effect any more.
    std::optional<double> grownLimit(const Server &server, core::TimePoint now) const;
    double variance(const core::ServiceId &service) const;
    /// Mean over the servers of a service; nullopt without samples.
    std::optional<double> serviceMean(const core::ServiceId &service, core::TimePoint now) const;
    Estimate estimate(const Server &server, double serviceMean, core::TimePoint now) const;
    /// Difference to the mean of the service, less what scatter explains.
    double deviation(const Server &server, double serviceMean, core::TimePoint now) const;

    std::map<core::VmId, Server> m_servers;
    /// Variance of the logarithms of the response times around the estimates.
    std::map<core::ServiceId, double> m_variances;
    std::optional<core::TimePoint> m_suspendedAt;
    std::uint64_t m_accepted = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(SampleDrop::Count)> m_dropped{};
};

} // namespace lycheelanding::decisions::routing

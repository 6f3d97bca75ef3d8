#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"
#include "lycheelanding/decisions/intake/coldbackends.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// The direct path of a request: from an entry to a backend server, not through a side.
namespace lycheelanding::forwarding {

enum class RouteKind : std::uint8_t {
    /// May run more than once.
    Idempotent,
    NonIdempotent,
    /// An event stream; idempotent only if it is resumable.
    Stream,
};

struct WeightedService
{
    core::ServiceId service;
    std::uint32_t weight = 1;
};

/// How the requests of one host and path prefix are routed.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<WeightedService> services;
    /// Maximum time until the answer is complete.
    std::chrono::milliseconds timeout{10000};
    /// Target for the time to the answer, or to the first event of a stream.
    std::chrono::milliseconds targetLatency{1000};
    /// Target for the maximum interval between events of a stream; 0 means no target.
    std::chrono::milliseconds targetEventInterval{0};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Maximum number of backend servers to which one request is sent.
    std::uint32_t maxAttempts = 1;
    /// Requests need no key.
    bool isPublic = false;
    /// Another backend server may resume a stream.
    bool isResumable = false;

    bool isIdempotent() const { return kind == RouteKind::Idempotent || (kind == RouteKind::Stream && isResumable); }
};

/// Durations of the steps of an engine. A forward pass consists of `stepsPerPass` steps and gives each stream one
/// event.
struct StepTimes
{
    /// Fixed duration of a step.
    core::Duration step = core::Duration::zero();
    /// Additional duration for each running request.
    core::Duration perRequest = core::Duration::zero();
    double stepsPerPass = 1.0;

    bool isKnown() const { return perRequest > core::Duration::zero() && stepsPerPass > 0.0; }
};

/// Shape of a model and its rank groups, for services that have rank groups.
struct ModelShape
{
    std::size_t slots = 0;
    std::size_t layers = 0;
    std::size_t experts = 0;
    std::size_t slotsPerRank = 0;
    /// Expert slots of one layer that a rank has beside those in use.
    std::size_t spareSlots = 0;
    std::uint64_t expertBytes = 0;
    double linkBitsPerSecond = 0.0;
    StepTimes steps;
};

struct Service
{
    core::ServiceId id;
    /// Maximum number of connections to one backend server from all entries together; 0 if unknown.
    std::size_t maxConnections = 0;
    std::optional<ModelShape> model = std::nullopt;
    /// nullopt if what the document says is invalid: what was known before holds.
    std::optional<decisions::intake::ColdTerms> cold = decisions::intake::ColdTerms();
};

/// Limits for the connections of callers.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16UL * 1024;
    std::size_t maxBodyBytes = 4UL * 1024 * 1024;
    std::chrono::milliseconds headerTimeout{5000};
    std::chrono::milliseconds idleTimeout{15000};
};

/// One version of the operators' configuration, as far as the direct path uses it.
struct ForwardingConfiguration
{
    core::ConfigurationVersion version;
    std::vector<Route> routes;
    std::vector<Service> services;
    CallerLimits limits;
    /// Whether requests need a key, except on public routes.
    bool hasOrganisations = false;
    std::unordered_map<std::string, core::OrganisationId> organisationOfKey;
    /// Priorities that override those of the routes.
    std::unordered_map<core::OrganisationId, std::uint32_t> priorityOfOrganisation;
};

} // namespace lycheelanding::forwarding

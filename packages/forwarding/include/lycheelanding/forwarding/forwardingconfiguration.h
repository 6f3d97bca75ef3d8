#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// The direct path of a request: from an entry to a backend server, without a side between them.
namespace lycheelanding::forwarding {

enum class RouteKind : std::uint8_t {
    /// May run more than once.
    Idempotent,
    NonIdempotent,
    /// A series of events; idempotent only where it may be resumed.
    Stream,
};

struct WeightedService
{
    core::ServiceId service;
    std::uint32_t weight = 1;
};

/// Where the requests of one host and path prefix go, and how.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<WeightedService> services;
    /// Longest time that a caller is kept waiting.
    std::chrono::milliseconds timeout{10000};
    /// Time to the answer, or to a stream's first event, within which the caller is served well.
    std::chrono::milliseconds targetLatency{1000};
    /// Longest pause between events with which a stream is served well; 0 sets none.
    std::chrono::milliseconds targetGap{0};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Backend servers to which one request may be sent.
    std::uint32_t maxAttempts = 1;
    /// Needs no key.
    bool isPublic = false;
    /// A stream may go on at another backend server.
    bool isResumable = false;

    bool isIdempotent() const { return kind == RouteKind::Idempotent || (kind == RouteKind::Stream && isResumable); }
};

/// What the steps of an engine take. Streams get an event with each pass.
struct StepTimes
{
    core::Duration step = core::Duration::zero();
    /// More for each request that runs.
    core::Duration perRequest = core::Duration::zero();
    double stepsPerPass = 1.0;

    bool isKnown() const { return perRequest > core::Duration::zero() && stepsPerPass > 0.0; }
};

/// Shape of a model's rank groups, for services that have some.
struct ModelShape
{
    std::size_t slots = 0;
    std::size_t layers = 0;
    std::size_t experts = 0;
    std::size_t slotsPerRank = 0;
    /// Experts of one layer that a rank can load beside those that it uses.
    std::size_t spareSlots = 0;
    std::uint64_t expertBytes = 0;
    double linkBitsPerSecond = 0.0;
    StepTimes steps;
};

struct Service
{
    core::ServiceId id;
    /// Connections that one backend server takes from all entries together; 0 where it is not said.
    std::size_t maxConnections = 0;
    std::optional<ModelShape> model = std::nullopt;
};

/// What callers' connections may do.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16UL * 1024;
    std::size_t maxBodyBytes = 4UL * 1024 * 1024;
    std::chrono::milliseconds headerTimeout{5000};
    std::chrono::milliseconds idleTimeout{15000};
};

/// One version of the operators' configuration, as far as the direct path works by it.
struct ForwardingConfiguration
{
    core::ConfigurationVersion version;
    std::vector<Route> routes;
    std::vector<Service> services;
    CallerLimits limits;
    /// Whether requests need a key at all.
    bool hasOrganisations = false;
    std::unordered_map<std::string, core::OrganisationId> organisationOfKey;
    /// Priorities that go before those of the routes.
    std::unordered_map<core::OrganisationId, std::uint32_t> priorityOfOrganisation;
};

} // namespace lycheelanding::forwarding

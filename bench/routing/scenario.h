#pragma once

#include "fakeengine.h"

#include "lycheelanding/core/ids.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace lycheelanding::bench::routing {

enum class ScenarioKind : std::uint8_t {
    Calm,
    Overload15x,
    Overload3x,
    Flood,
    Straggler,
    StalledRank,
    FailsFast,
    StaleLoad,
    LeavingThird,
    AfterOutage,
    PrefixHeavy,
};

/// Size of the simulated deployment and durations of the phases of a run.
struct SimulationParameters
{
    static constexpr std::size_t entries = 4;
    static constexpr std::size_t groups = 4;
    static constexpr std::size_t vmsPerGroup = 4;
    static constexpr std::size_t ranksPerVm = 2;
    static constexpr std::size_t vms = groups * vmsPerGroup;
    static constexpr std::size_t organisations = 10;
    static constexpr core::Duration warmUpDuration = std::chrono::seconds(5);
    static constexpr core::Duration measurementDuration = std::chrono::seconds(20);
    static constexpr core::Duration drainDuration = std::chrono::seconds(8);
    /// Time from a request's arrival to its deadline.
    static constexpr core::Duration timeToDeadline = std::chrono::seconds(5);
};

/// A request as a caller sends it.
struct CallerRequest
{
    /// Time since the start of the run.
    core::Duration arrival;
    std::size_t entry = 0;
    std::size_t organisation = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    decisions::routing::PromptPrefix prefix;
};

struct Scenario
{
    ScenarioKind kind = ScenarioKind::Calm;
    std::string_view name;
    /// Offered load as a multiple of the engines' capacity, without the flood.
    double load = 0.6;
    /// Additional load that organisation 0 offers after the warm-up, in the same unit.
    double floodLoad = 0.0;
    /// Delay of the load reports on their way to the entries.
    core::Duration reportDelay = std::chrono::milliseconds(100);
    double reportLossProbability = 0.0;
    std::uint32_t prefixTokens = 200;
    std::uint32_t uniquePromptTokens = 400;
    std::size_t prefixes = 64;
};

const std::vector<Scenario> &scenarios();

/// All requests of a run in order of arrival. `requestsPerSecond` is the capacity of the engines, to which the loads of
/// the scenario are relative.
std::vector<CallerRequest> callerRequests(const Scenario &scenario, double requestsPerSecond, std::uint64_t seed);

/// Requests per second that all engines complete while every batch is full of the scenario's requests. Either every
/// request hits the prefix cache or none does.
double saturatedThroughput(const Scenario &scenario, bool withPrefixHits, std::uint64_t seed);

/// Index of the backend server that fails, stalls or runs slowly in the scenarios with such a fault.
constexpr std::size_t faultyVmIndex = 5;
/// Number of backend servers that leave in ScenarioKind::LeavingThird, from index 0 on.
constexpr std::size_t leavingVmCount = 5;

} // namespace lycheelanding::bench::routing

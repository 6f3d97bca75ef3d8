#include "scenario.h"

#include "lycheelanding/core/random.h"
#include "lycheelanding/core/stablehash.h"

#include <algorithm>
#include <cmath>

namespace lycheelanding::bench::routing {

namespace {

using namespace std::chrono_literals;

constexpr double maxLengthFactor = 1.75;
constexpr core::Duration outageStart = SimulationParameters::warmUpDuration + 3s;
constexpr core::Duration outageDuration = 4s;
constexpr core::Duration maxRetryDelay = 1s;

/// Draws a length uniformly from 0.25 to `maxLengthFactor` times the mean.
std::uint32_t drawLength(core::RandomSequence &random, std::uint32_t mean)
{
    const double factor = 0.25 + (maxLengthFactor - 0.25) * random.nextUnit();
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(mean * factor));
}

/// Draws the index of a prefix from a Zipf-like distribution: small indices are the most frequent.
std::size_t drawPrefix(core::RandomSequence &random, std::size_t count)
{
    const double draw = std::pow(static_cast<double>(count), random.nextUnit());
    return std::min(count - 1, static_cast<std::size_t>(draw) - 1);
}

CallerRequest drawRequest(const Scenario &scenario, core::RandomSequence &random)
{
    CallerRequest request;
    request.entry = random.nextBelow(SimulationParameters::entries);
    request.organisation = 1 + random.nextBelow(SimulationParameters::organisations - 1);
    request.promptTokens = scenario.prefixTokens + drawLength(random, scenario.uniquePromptTokens);
    request.outputTokens = drawLength(random, 80);
    const std::size_t prefix = drawPrefix(random, scenario.prefixes);
    request.prefix = {core::mixBits(prefix + 1), scenario.prefixTokens};
    return request;
}

/// Adds Poisson arrivals at `rate` requests per second. The flood starts after the warm-up.
void addArrivals(std::vector<CallerRequest> &requests, const Scenario &scenario, double rate, bool isFlood,
                 std::uint64_t seed)
{
    core::RandomSequence random(seed);
    const core::Duration end = SimulationParameters::warmUpDuration + SimulationParameters::measurementDuration;
    core::Duration arrival = isFlood ? SimulationParameters::warmUpDuration : core::Duration::zero();
    while (rate > 0.0) {
        const double interarrivalSeconds = -std::log(1.0 - random.nextUnit()) / rate;
        arrival += std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(interarrivalSeconds));
        if (arrival >= end) {
            return;
        }
        CallerRequest request = drawRequest(scenario, random);
        request.arrival = arrival;
        request.organisation = isFlood ? 0 : request.organisation;
        requests.push_back(request);
    }
}

/// No entry is reachable during the outage; the callers retry within `maxRetryDelay` of its end.
void delayArrivalsDuringOutage(std::vector<CallerRequest> &requests, std::uint64_t seed)
{
    core::RandomSequence random(seed);
    for (auto &request : requests) {
        if (request.arrival >= outageStart && request.arrival < outageStart + outageDuration) {
            request.arrival = outageStart + outageDuration
                + std::chrono::duration_cast<core::Duration>(maxRetryDelay * random.nextUnit());
        }
    }
}

} // namespace

const std::vector<Scenario> &scenarios()
{
    static const std::vector<Scenario> all = [] {
        std::vector<Scenario> list{
            {ScenarioKind::Calm, "calm"},
            {ScenarioKind::Overload15x, "overload1.5x", 1.5},
            {ScenarioKind::Overload3x, "overload3x", 3.0},
            {ScenarioKind::Flood, "flood", 0.5, 2.5},
            {ScenarioKind::Straggler, "straggler"},
            {ScenarioKind::StalledRank, "stalledRank"},
            {ScenarioKind::FailsFast, "failsFast"},
            {ScenarioKind::StaleLoad, "staleLoad"},
            {ScenarioKind::LeavingThird, "leavingThird"},
            {ScenarioKind::AfterOutage, "afterOutage"},
            {ScenarioKind::PrefixHeavy, "prefixHeavy"},
        };
        for (auto &scenario : list) {
            if (scenario.kind == ScenarioKind::StaleLoad) {
                scenario.reportDelay = 2s;
                scenario.reportLossProbability = 0.3;
            }
            if (scenario.kind == ScenarioKind::PrefixHeavy) {
                scenario.prefixTokens = 1600;
                scenario.uniquePromptTokens = 200;
                scenario.prefixes = 200;
            }
        }
        return list;
    }();
    return all;
}

std::vector<CallerRequest> callerRequests(const Scenario &scenario, double requestsPerSecond, std::uint64_t seed)
{
    std::vector<CallerRequest> requests;
    addArrivals(requests, scenario, scenario.load * requestsPerSecond, false, seed);
    addArrivals(requests, scenario, scenario.floodLoad * requestsPerSecond, true, core::mixBits(seed + 1));
    if (scenario.kind == ScenarioKind::AfterOutage) {
        delayArrivalsDuringOutage(requests, core::mixBits(seed + 2));
    }
    std::stable_sort(requests.begin(), requests.end(),
                     [](const auto &left, const auto &right) { return left.arrival < right.arrival; });
    return requests;
}

double saturatedThroughput(const Scenario &scenario, bool withPrefixHits, std::uint64_t seed)
{
    constexpr core::Duration duration = 20s;
    core::RandomSequence random(seed);
    const EngineModel model;
    FakeEngineGroup group(model, SimulationParameters::vmsPerGroup * SimulationParameters::ranksPerVm);
    core::TimePoint now{};
    std::size_t completed = 0;
    while (now < core::TimePoint(duration)) {
        for (std::size_t rank = 0; rank < group.rankCount(); ++rank) {
            while (group.queued(rank) < model.batchSize) {
                const CallerRequest request = drawRequest(scenario, random);
                const auto cachedTokens = withPrefixHits ? static_cast<std::uint32_t>(request.prefix.tokens) : 0U;
                group.submit(rank, {0, {}, request.promptTokens - cachedTokens, request.outputTokens, 0, std::nullopt});
            }
        }
        now += group.beginStep(now);
        for (const auto &event : group.endStep()) {
            completed += event.kind == EngineEventKind::Ended ? 1 : 0;
        }
    }
    return static_cast<double>(SimulationParameters::groups * completed)
        / std::chrono::duration<double>(duration).count();
}

} // namespace lycheelanding::bench::routing

#include "baselineselectors.h"
#include "measurement.h"
#include "scenario.h"
#include "simulation.h"

#include "lycheelanding/core/nametable.h"
#include "lycheelanding/core/stablehash.h"
#include "lycheelanding/decisions/routing/backendselector.h"

#include <future>
#include <iostream>
#include <string>

namespace lycheelanding::bench::routing {

using decisions::routing::BackendSelector;

namespace {

/// The baselines, then the selector of the library with the settings of its first version and with its defaults.
enum class Policy : std::uint8_t { RoundRobin, LeastReported, TwoChoices, LibraryV1, Library };

constexpr std::array<core::NameEntry<Policy>, 5> policyNames{{
    {Policy::RoundRobin, "roundRobin"},
    {Policy::LeastReported, "leastReported"},
    {Policy::TwoChoices, "twoChoices"},
    {Policy::LibraryV1, "oursV1"},
    {Policy::Library, "ours"},
}};

/// Settings with which the selector ranks as its first version did: by outstanding tokens only, without the number of
/// requests in the batches.
decisions::routing::SelectorSettings settingsV1()
{
    decisions::routing::SelectorSettings settings;
    settings.requestWeight = 0.0;
    settings.tokenWeight = 1.0;
    settings.ditherWeight = 1.0;
    settings.crossDataCentrePenaltyTokens = 50.0;
    return settings;
}

struct Options
{
    std::uint64_t seed = 1;
    bool isJson = false;
    /// Name of the scenario to run; empty for all.
    std::string scenario;
};

Measurement measure(const Scenario &scenario, const std::vector<CallerRequest> &requests, Policy policy,
                    std::uint64_t seed)
{
    switch (policy) {
    case Policy::RoundRobin:
        return simulate(scenario, requests, seed,
                        [](std::uint64_t selectorSeed) { return RoundRobinSelector(selectorSeed); });
    case Policy::LeastReported:
        return simulate(scenario, requests, seed,
                        [](std::uint64_t selectorSeed) { return LeastReportedSelector(selectorSeed); });
    case Policy::TwoChoices:
        return simulate(scenario, requests, seed,
                        [](std::uint64_t selectorSeed) { return TwoChoicesSelector(selectorSeed); });
    case Policy::LibraryV1:
        return simulate(scenario, requests, seed,
                        [](std::uint64_t selectorSeed) { return BackendSelector(settingsV1(), selectorSeed); });
    case Policy::Library:
        break;
    }
    return simulate(scenario, requests, seed,
                    [](std::uint64_t selectorSeed) { return BackendSelector({}, selectorSeed); });
}

/// Upper bound of the goodput of any policy, per second: the offered rate, capped at the capacity of the engines.
double idealGoodput(const std::vector<CallerRequest> &requests, double capacity)
{
    std::size_t offered = 0;
    for (const auto &request : requests) {
        offered += request.arrival >= SimulationParameters::warmUpDuration ? 1 : 0;
    }
    const double rate = static_cast<double>(offered)
        / std::chrono::duration<double>(SimulationParameters::measurementDuration).count();
    return std::min(rate, capacity);
}

Row measureRow(const Scenario &scenario, Policy policy, std::uint64_t seed)
{
    const double capacity = saturatedThroughput(scenario, false, core::mixBits(seed));
    const auto requests = callerRequests(scenario, capacity, seed);
    const Measurement measurement = measure(scenario, requests, policy, seed);
    Row row = rowOf(measurement, SimulationParameters::measurementDuration);
    row.scenario = scenario.name;
    row.policy = core::nameIn(policyNames, policy);
    row.ideal = idealGoodput(requests, saturatedThroughput(scenario, true, core::mixBits(seed)));
    if (scenario.kind == ScenarioKind::Flood) {
        Scenario withoutFlood = scenario;
        withoutFlood.floodLoad = 0.0;
        const Measurement withoutFloodMeasurement
            = measure(withoutFlood, callerRequests(withoutFlood, capacity, seed), policy, seed);
        row.firstTokenP50Ms = measurement.timeToFirstTokenOfOthers.percentile(0.5);
        row.firstTokenP95Ms = measurement.timeToFirstTokenOfOthers.percentile(0.95);
        row.firstTokenP99Ms = measurement.timeToFirstTokenOfOthers.percentile(0.99);
        row.calmFirstTokenP99Ms = withoutFloodMeasurement.timeToFirstTokenOfOthers.percentile(0.99);
    }
    return row;
}

std::vector<Row> measureAll(const Options &options)
{
    std::vector<std::future<Row>> runs;
    std::vector<Row> rows;
    constexpr std::size_t threads = 4;
    for (const auto &scenario : scenarios()) {
        if (!options.scenario.empty() && options.scenario != scenario.name) {
            continue;
        }
        for (const auto &policy : policyNames) {
            if (runs.size() - rows.size() >= threads) {
                rows.push_back(runs[rows.size()].get());
            }
            runs.push_back(std::async(std::launch::async, measureRow, scenario, policy.value, options.seed));
        }
    }
    while (rows.size() < runs.size()) {
        rows.push_back(runs[rows.size()].get());
    }
    return rows;
}

Options parseOptions(const std::vector<std::string> &arguments)
{
    Options options;
    for (std::size_t index = 0; index < arguments.size(); ++index) {
        const bool hasValue = index + 1 < arguments.size();
        if (arguments[index] == "--json") {
            options.isJson = true;
        } else if (arguments[index] == "--seed" && hasValue) {
            options.seed = std::stoull(arguments[++index]);
        } else if (arguments[index] == "--scenario" && hasValue) {
            options.scenario = arguments[++index];
        } else {
            throw std::invalid_argument("usage: measure-routing [--seed N] [--scenario NAME] [--json]");
        }
    }
    return options;
}

} // namespace

} // namespace lycheelanding::bench::routing

int main(int argc, char **argv)
{
    using namespace lycheelanding::bench::routing;
    try {
        const Options options = parseOptions(std::vector<std::string>(argv + 1, argv + argc));
        const auto rows = measureAll(options);
        std::cout << (options.isJson ? jsonOf(rows) : tableOf(rows));
    } catch (const std::exception &exception) {
        std::cerr << exception.what() << '\n';
        return 1;
    }
    return 0;
}

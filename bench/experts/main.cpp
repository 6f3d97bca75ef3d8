#include "earlierversions.h"
#include "fullrepack.h"
#include "plot.h"
#include "policy.h"
#include "printer.h"
#include "runner.h"
#include "workload.h"

#include <cxxopts.hpp>

#include <fstream>
#include <functional>
#include <future>
#include <iostream>
#include <iterator>

namespace lycheelanding::bench::experts {

namespace {

struct Options
{
    SimulationParameters parameters;
    std::uint64_t seed = 1;
    bool isJson = false;
    std::string svgFile;
};

cxxopts::Options commandLineOptions()
{
    cxxopts::Options options("measure-experts", "Compares ways to place experts on ranks");
    auto add = options.add_options();
    add("seed", "Seed of the scenarios", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("json", "Print one JSON array of rows");
    add("svg", "Write a plot of the skew over the day to this file", cxxopts::value<std::string>()->default_value(""));
    add("ranks", "Ranks of the group", cxxopts::value<std::size_t>()->default_value("8"));
    add("experts", "Experts of each layer", cxxopts::value<std::size_t>()->default_value("64"));
    add("layers", "Layers with experts", cxxopts::value<std::size_t>()->default_value("12"));
    add("slots", "Slots of each rank in each layer; 0 for the default",
        cxxopts::value<std::size_t>()->default_value("0"));
    add("repack-period", "Seconds between two full repacks", cxxopts::value<int>()->default_value("300"));
    add("help", "Print this help");
    return options;
}

Options parseOptions(const cxxopts::ParseResult &parsed)
{
    Options options;
    auto &shape = options.parameters.shape;
    shape.ranks = parsed["ranks"].as<std::size_t>();
    shape.experts = parsed["experts"].as<std::size_t>();
    shape.layers = parsed["layers"].as<std::size_t>();
    shape.slotsPerRank = parsed["slots"].as<std::size_t>();
    if (shape.slotsPerRank == 0 && shape.ranks > 0) {
        shape.slotsPerRank = defaultSlotsPerRank(shape);
    }
    options.parameters.repackPeriod = std::chrono::seconds(parsed["repack-period"].as<int>());
    options.seed = parsed["seed"].as<std::uint64_t>();
    options.isJson = parsed.count("json") > 0;
    options.svgFile = parsed["svg"].as<std::string>();
    return options;
}

bool isValid(const decisions::experts::MapShape &shape)
{
    return shape.ranks > 0 && shape.experts > 0 && shape.layers > 0
        && shape.slotsPerRank * shape.ranks >= shape.experts;
}

std::vector<RunResult> runScenario(ScenarioKind kind, const Options &options)
{
    using namespace decisions::experts;
    const auto &parameters = options.parameters;
    const Workload workload(kind, parameters, options.seed);
    std::vector<RunResult> results;
    results.push_back(runPolicy(workload, NeverMove()));
    results.push_back(runPolicy(
        workload, FullRepack(parameters.shape, parameters.weightStore.bytesPerExpert, parameters.repackPeriod)));
    results.push_back(runPolicy(workload, PlannerPolicy("ours-v1", parameters.shape, settingsV1(parameters))));
    results.push_back(runPolicy(workload, PlannerPolicy("ours-v2", parameters.shape, settingsV2(parameters))));
    for (const auto preset : {PlannerPreset::LowSkew, PlannerPreset::LowMovement}) {
        const auto settings = settingsOf(preset, parameters.shape, parameters.weightStore);
        results.push_back(runPolicy(workload, PlannerPolicy(std::string(nameOf(preset)), parameters.shape, settings)));
    }
    return results;
}

/// Runs each scenario in its own thread. Neither the order of the results nor their values depend on the threads.
std::vector<RunResult> runScenarios(const Options &options)
{
    std::vector<std::future<std::vector<RunResult>>> runs;
    runs.reserve(scenarioNames.size());
    for (const auto &scenario : scenarioNames) {
        runs.push_back(std::async(std::launch::async, runScenario, scenario.value, std::cref(options)));
    }
    std::vector<RunResult> results;
    for (auto &run : runs) {
        auto finished = run.get();
        std::move(finished.begin(), finished.end(), std::back_inserter(results));
    }
    return results;
}

int run(int argc, char **argv)
{
    auto optionParser = commandLineOptions();
    const auto parsed = optionParser.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << optionParser.help();
        return 0;
    }
    const auto options = parseOptions(parsed);
    if (!isValid(options.parameters.shape)) {
        std::cerr << "measure-experts: --ranks, --experts and --layers must be positive, and the ranks need at least "
                     "one slot per expert\n";
        return 2;
    }
    const auto results = runScenarios(options);
    if (options.isJson) {
        printJson(std::cout, results);
    } else {
        printTable(std::cout, results);
    }
    if (!options.svgFile.empty()) {
        std::ofstream svg(options.svgFile);
        writePlot(svg, results);
    }
    return 0;
}

} // namespace

} // namespace lycheelanding::bench::experts

int main(int argc, char **argv)
{
    try {
        return lycheelanding::bench::experts::run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "measure-experts: " << error.what() << '\n';
        return 2;
    }
}

// Runs the fuzz tests and the fault rounds of all guarantees with one seed.

#include "guaranteereport.h"
#include "guaranteerunner.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <optional>

namespace {

using namespace lycheelanding::bench::guarantees;

constexpr int exitUsage = 2;

int run(int argc, char **argv)
{
    cxxopts::Options options("measure-promises", "Measures how the guarantees hold under faults.");
    options.add_options()("seed", "seed of fuzz tests and faults", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "effort", "faults in each round", cxxopts::value<std::size_t>()->default_value("8"))(
        "promise", "number of the only guarantee to run",
        cxxopts::value<int>())("json", "print one array of rows")("h,help", "print this help");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return EXIT_SUCCESS;
    }
    const auto selectedGuarantee
        = arguments.count("promise") > 0 ? std::optional(arguments["promise"].as<int>()) : std::nullopt;
    const auto rows = runGuarantees(arguments["seed"].as<std::uint64_t>(), arguments["effort"].as<std::size_t>(),
                                    selectedGuarantee);
    std::cout << (arguments.count("json") > 0 ? jsonOf(rows) + "\n" : tableOf(rows));
    const bool holds
        = std::all_of(rows.begin(), rows.end(), [](const auto &row) { return row.result.violations.empty(); });
    return holds ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const cxxopts::exceptions::exception &exception) {
        std::cerr << "measure-promises: " << exception.what() << std::endl;
        return exitUsage;
    }
}

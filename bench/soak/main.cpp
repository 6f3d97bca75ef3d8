// Runs soak rounds with consecutive seeds and prints a row for each.

#include "rounds/soakround.h"

#include <cxxopts.hpp>

#include <cstdlib>
#include <exception>
#include <iomanip>
#include <iostream>

namespace {

using namespace lycheelanding::rounds;

constexpr int exitUsage = 2;

/// An exception counts as a violation, so that the following seeds are still run.
SoakResult runSeed(std::uint64_t seed, const SoakPlan &plan)
{
    try {
        return runSoakRound(seed, plan);
    } catch (const std::exception &exception) {
        SoakResult result;
        result.round.violations.push_back("seed " + std::to_string(seed)
                                          + ": the round ended with an exception: " + exception.what());
        return result;
    }
}

void print(const std::string &name, const SoakResult &result)
{
    std::cout << std::setw(8) << name << std::setw(10) << result.round.requests << std::setw(10)
              << result.counts.answered << std::setw(9) << result.counts.refused << std::setw(8) << result.counts.unread
              << std::setw(8) << result.round.faults << std::setw(12) << result.round.violations.size() << std::setw(17)
              << result.round.maxRecoveryTime.count() << std::endl;
}

void add(SoakResult &total, const SoakResult &result)
{
    lycheelanding::rounds::add(total.round, result.round);
    total.counts.answered += result.counts.answered;
    total.counts.refused += result.counts.refused;
    total.counts.unread += result.counts.unread;
}

int run(int argc, char **argv)
{
    cxxopts::Options options("measure-soak", "Runs soak rounds against real processes.");
    const SoakPlan plan;
    options.add_options()("seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seeds", "number of seeds", cxxopts::value<std::size_t>()->default_value("1"))(
        "effort", "events of each process", cxxopts::value<std::size_t>()->default_value(std::to_string(plan.events)))(
        "entries", "entries", cxxopts::value<std::size_t>()->default_value(std::to_string(plan.entries)))(
        "engines", "engines, each with its side",
        cxxopts::value<std::size_t>()->default_value(std::to_string(plan.engines)))(
        "plain", "plain services, each with its side",
        cxxopts::value<std::size_t>()->default_value(std::to_string(plan.plainServices)))(
        "callers", "callers",
        cxxopts::value<std::size_t>()->default_value(std::to_string(plan.callers)))("h,help", "print this help");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return EXIT_SUCCESS;
    }
    const auto number = [&arguments](const char *name) { return arguments[name].as<std::size_t>(); };
    const SoakPlan selected{number("entries"), number("engines"), number("plain"), number("callers"), number("effort")};
    std::cout << "    seed  requests  answered  refused  unread  events  violations  longest stop ms\n";
    const auto firstSeed = arguments["seed"].as<std::uint64_t>();
    SoakResult total;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + number("seeds"); ++seed) {
        const auto result = runSeed(seed, selected);
        print(std::to_string(seed), result);
        for (const auto &violation : result.round.violations) {
            std::cout << "    " << violation << std::endl;
        }
        add(total, result);
    }
    print("all", total);
    return total.round.violations.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const cxxopts::exceptions::exception &exception) {
        std::cerr << "measure-soak: " << exception.what() << std::endl;
        return exitUsage;
    }
}

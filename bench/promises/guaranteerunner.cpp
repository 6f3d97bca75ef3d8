#include "guaranteerunner.h"

#include "harness/childprocess.h"
#include "rounds/answerround.h"
#include "rounds/atmostonceround.h"
#include "rounds/configurationround.h"
#include "rounds/leavinground.h"
#include "rounds/mapswitchround.h"
#include "rounds/stopround.h"

#include <array>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <string>

namespace lycheelanding::bench::guarantees {

namespace {

using Round = std::function<rounds::RoundResult(std::uint64_t seed, std::size_t effort)>;

struct Guarantee
{
    int number;
    std::string_view title;
    /// GoogleTest filter of the guarantee's fuzz tests in decisions-tests.
    std::string fuzzFilter;
    std::vector<Round> rounds;
};

constexpr std::chrono::minutes fuzzTimeout(5);

std::vector<Guarantee> guarantees()
{
    const Round fenced = [](auto seed, auto effort) { return rounds::runMapSwitchRound(seed, effort, true); };
    const Round unfenced = [](auto seed, auto effort) { return rounds::runMapSwitchRound(seed, effort, false); };
    const Round atMostOnce = [](auto seed, auto effort) { return rounds::runAtMostOnceRound(seed, 3 * effort); };
    return {
        {1, "one expert map per step", "SwitchCoordinatorTest.*:RankGateTest.*", {fenced, unfenced}},
        {2, "complete answer to its caller", "AnswerAssemblerTest.*", {rounds::runAnswerRound}},
        {3, "\"not run\" means not run", "RequestAttemptsTest.*", {atMostOnce}},
        {4, "at most once", "ClaimPartitionTest.*:KeptAnswersTest.*:ClaimValueTest.*", {atMostOnce}},
        {5, "no new work when leaving", "BackendMembershipTest.*", {rounds::runLeavingRound}},
        {6, "planned stops cut off nothing", "SideDrainTest.*:EntryDrainTest.*", {rounds::runStopRound}},
        {7, "configuration becomes active", "DistributionFuzz.*", {rounds::runConfigurationRound}},
    };
}

/// Runs the fuzz tests with the seed; a failure counts as a violation.
rounds::RoundResult runFuzz(const Guarantee &guarantee, std::uint64_t seed)
{
    const auto parameters = "seed=" + std::to_string(seed);
    setenv("RC_PARAMS", parameters.c_str(), 1);
    harness::ChildProcess tests("decisions-tests", {"--gtest_brief=1", "--gtest_filter=" + guarantee.fuzzFilter},
                                "/dev/null");
    rounds::RoundResult result;
    if (tests.waitForExit(fuzzTimeout) != EXIT_SUCCESS) {
        result.violations.push_back("fuzz tests " + guarantee.fuzzFilter + " fail with RC_PARAMS=\"" + parameters
                                    + "\"");
    }
    return result;
}

rounds::RoundResult runRound(const Round &round, std::uint64_t seed, std::size_t effort)
{
    try {
        return round(seed, effort);
    } catch (const std::exception &exception) {
        rounds::RoundResult result;
        result.violations.push_back(std::string("the round ended with an exception: ") + exception.what());
        return result;
    }
}

} // namespace

std::vector<GuaranteeRow> runGuarantees(std::uint64_t seed, std::size_t effort, std::optional<int> selectedGuarantee)
{
    std::vector<GuaranteeRow> rows;
    for (const auto &guarantee : guarantees()) {
        if (selectedGuarantee && *selectedGuarantee != guarantee.number) {
            continue;
        }
        std::cerr << "guarantee " << guarantee.number << ": " << guarantee.title << std::endl;
        GuaranteeRow row{guarantee.number, guarantee.title, 0, runFuzz(guarantee, seed)};
        ++row.runs;
        for (const auto &round : guarantee.rounds) {
            // Guarantees that share a round run it with different seeds, and so with different faults.
            rounds::add(row.result, runRound(round, seed * 10 + guarantee.number, effort));
            ++row.runs;
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

} // namespace lycheelanding::bench::guarantees

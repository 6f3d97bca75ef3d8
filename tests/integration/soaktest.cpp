// Runs short soaks with fixed seeds; `scripts/measure soak` runs more seeds, and more processes.

#include "rounds/soakround.h"

#include <gtest/gtest.h>

namespace lycheelanding::tests {

namespace {

void expectNoViolations(std::uint64_t seed)
{
    const auto result = rounds::runSoakRound(seed, rounds::SoakPlan());
    EXPECT_GT(result.counts.answered, 0U);
    EXPECT_GT(result.round.faults, 0U);
    for (const auto &violation : result.round.violations) {
        ADD_FAILURE() << violation;
    }
}

} // namespace

TEST(Soak, plannedWorkAndSlowBackendServersCostNoCallerAnAnswer)
{
    expectNoViolations(20261204);
}

// Guards against a 404 for a configured model or service while all of its sides are restarting.
TEST(Soak, refusalsDuringRestartsOfAllSidesLetCallersTryAgain)
{
    expectNoViolations(6);
}

} // namespace lycheelanding::tests

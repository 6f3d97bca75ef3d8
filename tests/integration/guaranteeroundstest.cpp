// Checks every guarantee with real processes and a few faults; `scripts/measure promises` injects more faults with any
// seed.

#include "rounds/answerround.h"
#include "rounds/atmostonceround.h"
#include "rounds/configurationround.h"
#include "rounds/leavinground.h"
#include "rounds/mapswitchround.h"
#include "rounds/stopround.h"

#include <gtest/gtest.h>

namespace lycheelanding::tests {

namespace {

constexpr std::uint64_t seed = 20261203;

void expectNoViolations(const rounds::RoundResult &result)
{
    EXPECT_GT(result.requests, 0U);
    EXPECT_GT(result.faults, 0U);
    for (const auto &violation : result.violations) {
        ADD_FAILURE() << violation;
    }
}

} // namespace

TEST(GuaranteeRounds, everyStepHasOneExpertMap)
{
    expectNoViolations(rounds::runMapSwitchRound(seed, 5, true));
}

TEST(GuaranteeRounds, everyStepHasOneExpertMapWithoutFencing)
{
    expectNoViolations(rounds::runMapSwitchRound(seed + 1, 5, false));
}

TEST(GuaranteeRounds, leavingBackendServersGetNoNewWork)
{
    expectNoViolations(rounds::runLeavingRound(seed, 3));
}

TEST(GuaranteeRounds, callersGetTheirOwnCompleteAnswers)
{
    expectNoViolations(rounds::runAnswerRound(seed, 4));
}

TEST(GuaranteeRounds, requestsReportedAsNotExecutedDidNotRun)
{
    expectNoViolations(rounds::runAtMostOnceRound(seed + 3, 6));
}

TEST(GuaranteeRounds, nonIdempotentRequestsRunAtMostOnce)
{
    expectNoViolations(rounds::runAtMostOnceRound(seed + 4, 6));
}

TEST(GuaranteeRounds, plannedStopsCutOffNothing)
{
    expectNoViolations(rounds::runStopRound(seed, 3));
}

TEST(GuaranteeRounds, acceptedConfigurationIsActiveEverywhere)
{
    expectNoViolations(rounds::runConfigurationRound(seed, 4));
}

} // namespace lycheelanding::tests

#include "lycheelanding/core/errorkind.h"

#include <gtest/gtest.h>

namespace lycheelanding::core {

TEST(ErrorKindTest, everyNameParsesToItsKind)
{
    for (const auto &answer : errorAnswers()) {
        EXPECT_EQ(errorKindNamed(nameOf(answer.kind)), answer.kind);
    }
}

TEST(ErrorKindTest, retryableErrorsMeanThatTheRequestDidNotRun)
{
    for (const auto &answer : errorAnswers()) {
        if (answer.retryCanSucceed && answer.kind != ErrorKind::PatchUndecided) {
            EXPECT_EQ(answer.ran, Ran::No) << answer.name;
        }
    }
}

} // namespace lycheelanding::core

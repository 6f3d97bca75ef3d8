#include "lycheelanding/decisions/idempotency/keptanswers.h"

#include <gtest/gtest.h>

namespace lycheelanding::decisions::idempotency {

namespace {

constexpr auto start = core::WallTime(std::chrono::hours(500000));
constexpr auto incarnation = core::Incarnation(7);
constexpr auto later = start + std::chrono::seconds(100);

KeptAnswersSettings smallSettings()
{
    KeptAnswersSettings settings;
    settings.maxNonces = 3;
    settings.maxAnswerBytes = 10;
    return settings;
}

} // namespace

TEST(KeptAnswersTest, admitsANonceOnce)
{
    KeptAnswers answers(smallSettings(), incarnation);
    EXPECT_EQ(answers.admit({AttemptNonce(1), incarnation, later}, later), AdmissionVerdict::Admitted);
    EXPECT_EQ(answers.admit({AttemptNonce(1), incarnation, later}, later), AdmissionVerdict::Repeated);
    EXPECT_EQ(answers.forbid({AttemptNonce(1), incarnation, later}, later), AttemptState::Running);
}

TEST(KeptAnswersTest, aForbiddenNonceNeverRuns)
{
    KeptAnswers answers(smallSettings(), incarnation);
    EXPECT_EQ(answers.forbid({AttemptNonce(1), incarnation, later}, later), AttemptState::Forbidden);
    EXPECT_EQ(answers.admit({AttemptNonce(1), incarnation, later}, later), AdmissionVerdict::Repeated);
}

TEST(KeptAnswersTest, cannotForbidAnEarlierIncarnationOrAClaimPastTheWindow)
{
    KeptAnswers answers(smallSettings(), incarnation);
    const AttemptClaim earlier{AttemptNonce(1), core::Incarnation(6), later};
    EXPECT_EQ(answers.forbid(earlier, later), AttemptState::Unknown);
    EXPECT_EQ(answers.admit(earlier, later), AdmissionVerdict::OtherIncarnation);
    EXPECT_EQ(answers.forbid({AttemptNonce(1), incarnation, later}, later + std::chrono::hours(1)),
              AttemptState::Unknown);
}

TEST(KeptAnswersTest, refusesOldClaimsAndNewNoncesWhileTheTableIsFull)
{
    KeptAnswers answers(smallSettings(), incarnation);
    EXPECT_EQ(answers.admit({AttemptNonce(9), incarnation, start}, start + std::chrono::seconds(301)),
              AdmissionVerdict::OutsideWindow);
    for (std::uint64_t nonce = 1; nonce <= 3; ++nonce) {
        answers.admit({AttemptNonce(nonce), incarnation, later}, later);
    }
    EXPECT_EQ(answers.admit({AttemptNonce(4), incarnation, later}, later), AdmissionVerdict::Full);
    const auto muchLater = later + std::chrono::hours(1);
    EXPECT_EQ(answers.admit({AttemptNonce(4), incarnation, muchLater}, muchLater), AdmissionVerdict::Admitted);
}

TEST(KeptAnswersTest, keepsAnswersPastTheWindowUntilTheTableIsFull)
{
    KeptAnswers answers(smallSettings(), incarnation);
    answers.admit({AttemptNonce(1), incarnation, later}, later);
    answers.finish(AttemptNonce(1), "12345");
    const auto pastWindow = later + std::chrono::seconds(1000);
    answers.admit({AttemptNonce(2), incarnation, pastWindow}, pastWindow);
    EXPECT_NE(answers.answerOf(AttemptNonce(1)), nullptr);
    answers.admit({AttemptNonce(3), incarnation, pastWindow}, pastWindow);
    EXPECT_EQ(answers.admit({AttemptNonce(4), incarnation, pastWindow}, pastWindow), AdmissionVerdict::Admitted);
    EXPECT_EQ(answers.answerOf(AttemptNonce(1)), nullptr);
}

TEST(KeptAnswersTest, dropsTheOldestAnswersAndKeepsTheirNonces)
{
    KeptAnswers answers(smallSettings(), incarnation);
    for (std::uint64_t nonce = 1; nonce <= 3; ++nonce) {
        answers.admit({AttemptNonce(nonce), incarnation, later}, later);
        answers.finish(AttemptNonce(nonce), "12345");
    }
    EXPECT_EQ(answers.answerOf(AttemptNonce(1)), nullptr);
    EXPECT_EQ(answers.stateOf(AttemptNonce(1)), AttemptState::Finished);
    ASSERT_NE(answers.answerOf(AttemptNonce(3)), nullptr);
    EXPECT_EQ(*answers.answerOf(AttemptNonce(3)), "12345");
}

} // namespace lycheelanding::decisions::idempotency

#include "lycheelanding/decisions/retry/retrypolicy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lycheelanding::decisions::retry {

namespace {

using namespace std::chrono_literals;

FailedAttempt failure(core::Ran ran, bool isIdempotent, core::TimePoint deadline)
{
    return {1, {core::ErrorKind::BackendServerFailed, "failed"}, ran, isIdempotent, deadline};
}

} // namespace

RC_GTEST_PROP(RetryPolicyTest, retriesRespectBudgetDeadlineAndIdempotence, (std::uint64_t seed))
{
    const RetrySettings settings;
    RetryPolicy policy(settings, seed);
    core::TimePoint now(1h);
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    const auto values = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::arbitrary<std::uint32_t>());
    for (const auto value : values) {
        now += std::chrono::milliseconds(value % 50);
        policy.firstAttemptSent();
        ++requests;
        FailedAttempt failed = failure(static_cast<core::Ran>(value % 3), value % 2 == 0, now + 1ms * (value % 200));
        failed.attempt = 1 + value % 4;
        const bool isAllowed = policy.allowsRetry(failed, now);
        const auto decision = policy.attemptFailed(failed, now);
        RC_ASSERT(!isAllowed || std::holds_alternative<RetryAfter>(decision));
        if (const auto *retry = std::get_if<RetryAfter>(&decision)) {
            ++retries;
            RC_ASSERT(failed.ran == core::Ran::No || failed.isIdempotent);
            RC_ASSERT(now + retry->delay < failed.deadline);
            RC_ASSERT(retry->delay > core::Duration::zero());
            RC_ASSERT(failed.attempt < settings.maxAttempts);
        }
        RC_ASSERT(10 * retries <= requests + std::uint64_t(10) * settings.initialBalance);
    }
}

TEST(RetryPolicyTest, errorOfTheRequestItselfIsNotRetried)
{
    RetryPolicy policy(RetrySettings(), 1);
    const core::TimePoint now(1h);
    FailedAttempt failed = failure(core::Ran::No, true, now + 10s);
    EXPECT_TRUE(std::holds_alternative<RetryAfter>(policy.attemptFailed(failed, now)));
    failed.error.kind = core::ErrorKind::MalformedRequest;
    EXPECT_TRUE(std::holds_alternative<GiveUp>(policy.attemptFailed(failed, now)));
}

TEST(RetryPolicyTest, newSettingsKeepTheBalance)
{
    RetryPolicy policy(RetrySettings(), 1);
    const core::TimePoint now(1h);
    const FailedAttempt failed = failure(core::Ran::No, true, now + 10s);
    policy.attemptFailed(failed, now);
    RetrySettings settings;
    settings.maxBaseDelay = settings.minBaseDelay = 70ms;
    policy.configure(settings);
    EXPECT_EQ(policy.balance(), settings.initialBalance - 1);
    const auto decision = policy.attemptFailed(failed, now);
    ASSERT_TRUE(std::holds_alternative<RetryAfter>(decision));
    EXPECT_EQ(std::get<RetryAfter>(decision).delay, core::Duration(70ms));
    settings.maxAttempts = 1;
    policy.configure(settings);
    EXPECT_TRUE(std::holds_alternative<GiveUp>(policy.attemptFailed(failed, now)));
}

} // namespace lycheelanding::decisions::retry

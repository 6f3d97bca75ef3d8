#include "lycheelanding/decisions/idempotency/claimvalue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lycheelanding::decisions::idempotency {

RC_GTEST_PROP(ClaimValueTest, parsingTheTextRestoresTheValue, ())
{
    ClaimValue value;
    const auto numbers = *rc::gen::arbitrary<std::vector<std::uint64_t>>();
    for (const std::uint64_t number : numbers) {
        const SideId side{core::VmId("vm-" + std::to_string(number % 5)), core::Incarnation(number % 3)};
        const auto fingerprint = static_cast<std::uint32_t>(number >> 7U);
        value.add({KeyHash(~number), AttemptNonce(number), fingerprint, side},
                  core::WallTime(std::chrono::seconds(number % 1000)));
    }
    const auto parsed = ClaimValue::fromText(value.toText());
    RC_ASSERT(core::isOk(parsed));
    RC_ASSERT(core::valueOf(parsed) == value);
}

RC_GTEST_PROP(ClaimValueTest, parsesCorruptTextWithoutFault, (std::size_t position, char byte))
{
    ClaimValue value;
    value.add({KeyHash(1), AttemptNonce(2), 3, {core::VmId("vm"), core::Incarnation(4)}}, core::WallTime());
    std::string text = value.toText();
    text[position % text.size()] = byte;
    ClaimValue::fromText(text);
    text.resize(position % text.size());
    ClaimValue::fromText(text);
}

TEST(ClaimValueTest, aFullPartitionStaysUnderHalfAMegabyte)
{
    ClaimValue value;
    for (std::uint64_t number = 0; number < 15000; ++number) {
        value.add({KeyHash(number), AttemptNonce(number), 0, {core::VmId("vm"), core::Incarnation(4)}},
                  core::WallTime());
    }
    EXPECT_LT(value.toText().size(), 512U * 1024U);
}

TEST(ClaimValueTest, refusesAnotherFormatVersion)
{
    EXPECT_FALSE(core::isOk(ClaimValue::fromText("2claims")));
}

} // namespace lycheelanding::decisions::idempotency

#include "lycheelanding/decisions/idempotency/claimkey.h"

#include <gtest/gtest.h>

#include <array>

namespace lycheelanding::decisions::idempotency {

TEST(ClaimKeyTest, organisationsDoNotShareKeys)
{
    EXPECT_NE(keyHashOf(core::OrganisationId("ab"), "c"), keyHashOf(core::OrganisationId("a"), "bc"));
}

TEST(ClaimKeyTest, onlyUuidsOfVersion7CarryATime)
{
    EXPECT_EQ(creationTimeOf("017F22E2-79B0-7CC3-98C4-DC0C0C07398F"),
              core::WallTime(std::chrono::milliseconds(0x017F22E279B0)));
    EXPECT_FALSE(creationTimeOf("017F22E2-79B0-4CC3-98C4-DC0C0C07398F"));
    EXPECT_FALSE(creationTimeOf("017F22E2x79B0-7CC3-98C4-DC0C0C07398F"));
    EXPECT_FALSE(creationTimeOf("order-7"));
}

TEST(ClaimKeyTest, aLostEntryMovesOnlyThePartitionsItWrote)
{
    const std::array<core::VmId, 3> all{core::VmId("a"), core::VmId("b"), core::VmId("c")};
    const std::array<core::VmId, 2> fewer{all[0], all[1]};
    for (std::uint64_t number = 0; number < defaultPartitionCount; ++number) {
        const auto before = partitionWriterHint(PartitionNumber(number), all);
        const auto after = partitionWriterHint(PartitionNumber(number), fewer);
        EXPECT_TRUE(before == after || before == all[2]);
    }
    EXPECT_FALSE(partitionWriterHint(PartitionNumber(0), {}));
}

} // namespace lycheelanding::decisions::idempotency

#include "lycheelanding/core/stablehash.h"

#include <gtest/gtest.h>

namespace lycheelanding::core {

TEST(StableHashTest, isTheSameInEveryBuild)
{
    EXPECT_EQ(stableHash(""), mixBits(0xcbf29ce484222325ULL));
    EXPECT_EQ(stableHash("a"), mixBits(0xaf63dc4c8601ec8cULL));
}

TEST(StableHashTest, scoreDependsOnKeyAndMember)
{
    EXPECT_NE(rendezvousScore("key", "a"), rendezvousScore("key", "b"));
    EXPECT_NE(rendezvousScore("key", "a"), rendezvousScore("yek", "a"));
}

} // namespace lycheelanding::core

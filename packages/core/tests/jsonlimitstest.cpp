#include "lycheelanding/core/jsonlimits.h"

#include <gtest/gtest.h>

#include <string>

namespace lycheelanding::core {

namespace {

std::string repeated(const std::string &text, std::size_t count)
{
    std::string result;
    while (count-- > 0) {
        result += text;
    }
    return result;
}

} // namespace

// Text of a few megabytes took more memory than a side has once it was parsed.
TEST(JsonLimits, boundDepthContainersAndValues)
{
    const JsonLimits limits{4, 10, 20};
    EXPECT_FALSE(exceedsLimits(repeated("[", 4) + repeated("]", 4), limits));
    EXPECT_TRUE(exceedsLimits(repeated("[", 5) + repeated("]", 5), limits));
    EXPECT_FALSE(exceedsLimits("[" + repeated("{},", 8) + "{}]", limits));
    EXPECT_TRUE(exceedsLimits("[" + repeated("{},", 9) + "{}]", limits));
    EXPECT_FALSE(exceedsLimits("[" + repeated("0,", 17) + "0]", limits));
    EXPECT_TRUE(exceedsLimits("[" + repeated("0,", 20) + "0]", limits));
}

TEST(JsonLimits, ignoreStrings)
{
    const JsonLimits limits{2, 2, 3};
    EXPECT_FALSE(exceedsLimits(R"({"a":"[[[[[,,,,,\"[[[[","b":1})", limits));
    EXPECT_TRUE(exceedsLimits(R"({"a":"[\\",[[[)", limits));
}

} // namespace lycheelanding::core

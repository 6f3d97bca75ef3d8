#include "lycheelanding/rankgroups/expertlists.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lycheelanding::rankgroups {

TEST(ExpertLists, smallIndicesTakeOneByteEach)
{
    const ExpertLists experts{{{0, 127}, {5}}, {{}, {1, 2, 3}}};
    constexpr std::size_t lengthsAndIndices = 1 + 2 + 4 + 6;
    EXPECT_EQ(packExperts(experts).size(), lengthsAndIndices);
    EXPECT_EQ(unpackExperts(packExperts(experts)), experts);
}

RC_GTEST_PROP(ExpertLists, unpackingRestoresTheLists, (const ExpertLists &experts))
{
    const auto bytes = packExperts(experts);
    RC_ASSERT(unpackExperts(bytes) == experts);
}

RC_GTEST_PROP(ExpertLists, incompleteOrLongerBytesAreRejected, (const ExpertLists &experts))
{
    const auto bytes = packExperts(experts);
    const auto length = *rc::gen::inRange<std::size_t>(0, bytes.size());
    RC_ASSERT(!unpackExperts(std::string_view(bytes).substr(0, length)));
    RC_ASSERT(!unpackExperts(bytes + '\0'));
}

RC_GTEST_PROP(ExpertLists, foreignBytesAreRejectedOrHoldNoMoreElementsThanBytes, (const std::string &bytes))
{
    const auto experts = unpackExperts(bytes);
    std::size_t elements = 0;
    for (const auto &layer : experts.value_or(ExpertLists())) {
        elements += 1 + layer.size();
        for (const auto &rank : layer) {
            elements += rank.size();
        }
    }
    RC_ASSERT(elements <= bytes.size());
}

TEST(ExpertLists, lengthsBeyondTheBytesAreRejected)
{
    EXPECT_FALSE(unpackExperts(""));
    EXPECT_FALSE(unpackExperts("\x7f"));
    EXPECT_FALSE(unpackExperts("\xff\xff\xff\xff\x0f"));
    EXPECT_FALSE(unpackExperts("\x01\xff\xff\xff\xff\x0f\x01"));
}

TEST(ExpertLists, numbersBeyond32BitsAreRejected)
{
    EXPECT_FALSE(unpackExperts("\x01\x01\x01\xff\xff\xff\xff\x1f"));
    EXPECT_FALSE(unpackExperts("\x01\x01\x01\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"));
    const ExpertLists largest{{{0xffffffffU}}};
    EXPECT_EQ(unpackExperts(packExperts(largest)), largest);
}

} // namespace lycheelanding::rankgroups

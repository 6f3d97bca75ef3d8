#include "private/compactlists.h"

#include "lycheelanding/core/random.h"

#include <gtest/gtest.h>

#include <limits>

namespace lycheelanding::rankgroups {

namespace {

using Lists = std::vector<std::vector<std::uint32_t>>;

std::string encodedNumber(std::uint64_t number)
{
    std::string bytes;
    appendNumber(bytes, number);
    return bytes;
}

} // namespace

TEST(CompactListsTest, smallNumbersTakeFewBytes)
{
    EXPECT_EQ(encodedNumber(0).size(), 1U);
    EXPECT_EQ(encodedNumber(127).size(), 1U);
    EXPECT_EQ(encodedNumber(128).size(), 2U);
    EXPECT_EQ(encodedNumber(16383).size(), 2U);
    EXPECT_EQ(encodedNumber(16384).size(), 3U);
}

TEST(CompactListsTest, numbersAreTheSameAfterDecoding)
{
    core::RandomSequence random(3);
    std::vector<std::uint64_t> numbers{0, 127, 128, std::numeric_limits<std::uint64_t>::max()};
    for (unsigned shift = 0; shift < 64; ++shift) {
        numbers.push_back(random.next() >> shift);
    }
    std::string bytes;
    for (const auto number : numbers) {
        appendNumber(bytes, number);
    }
    CompactReader reader(bytes);
    for (const auto number : numbers) {
        EXPECT_EQ(reader.number(), number);
    }
    EXPECT_TRUE(reader.isAtEnd());
}

TEST(CompactListsTest, listsAreTheSameAfterDecoding)
{
    const std::vector<std::uint32_t> list{5, 0, 70000, std::numeric_limits<std::uint32_t>::max()};
    const Lists lists{{}, {1, 2, 300}, list};
    std::string bytes;
    appendList(bytes, list);
    appendLists(bytes, lists);
    appendList(bytes, {});
    CompactReader reader(bytes);
    EXPECT_EQ(reader.list(), list);
    EXPECT_EQ(reader.lists(), lists);
    EXPECT_EQ(reader.list(), std::vector<std::uint32_t>());
    EXPECT_TRUE(reader.isAtEnd());
}

TEST(CompactListsTest, smallNumbersAreTheSameAfterDecodingAndTakeHalfAByte)
{
    std::vector<std::uint32_t> list{15, 22, 23, 4000, std::numeric_limits<std::uint32_t>::max()};
    for (std::uint32_t number = 0; number < 15; ++number) {
        list.insert(list.end(), 40, number);
    }
    std::string bytes;
    appendSmallNumbers(bytes, list);
    EXPECT_LE(bytes.size(), list.size() / 2 + 20);
    appendNumber(bytes, 77);
    CompactReader reader(bytes);
    EXPECT_EQ(reader.smallNumbers(), list);
    EXPECT_EQ(reader.number(), 77U);
}

TEST(CompactListsTest, cutSmallNumbersAreInvalid)
{
    std::string bytes;
    appendSmallNumbers(bytes, {1, 20, 300, 70000});
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        EXPECT_FALSE(CompactReader(std::string_view(bytes).substr(0, size)).smallNumbers());
    }
}

// Guards against foreign bytes that make a process allocate memory, or that overflow a number.
TEST(CompactListsTest, foreignSmallNumbersAreDecodedOrRejected)
{
    EXPECT_FALSE(CompactReader(encodedNumber(std::uint64_t{1} << 40U) + "\1\1").smallNumbers());
    EXPECT_FALSE(CompactReader(encodedNumber(1) + std::string(8, '\xff')).smallNumbers());
    core::RandomSequence random(5);
    for (int round = 0; round < 2000; ++round) {
        std::string bytes;
        for (auto size = random.nextBelow(40); size > 0; --size) {
            bytes.push_back(static_cast<char>(random.nextBelow(256)));
        }
        const auto list = CompactReader(bytes).smallNumbers();
        EXPECT_LE(list ? list->size() : 0, 2 * bytes.size());
    }
}

TEST(CompactListsTest, cutListsAreInvalid)
{
    std::string bytes;
    appendLists(bytes, {{1, 2, 300}, {70000}});
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        EXPECT_FALSE(CompactReader(std::string_view(bytes).substr(0, size)).lists());
    }
}

// Guards against foreign bytes that claim long lists: they must not make a process allocate memory.
TEST(CompactListsTest, lengthsBeyondTheBytesAreInvalid)
{
    for (const std::uint64_t claimed : {std::uint64_t{3}, std::uint64_t{1} << 40U, ~std::uint64_t{0}}) {
        const std::string bytes = encodedNumber(claimed) + std::string(2, '\1');
        EXPECT_FALSE(CompactReader(bytes).list());
        EXPECT_FALSE(CompactReader(bytes).lists());
    }
}

TEST(CompactListsTest, numbersThatDoNotFitAreInvalid)
{
    EXPECT_FALSE(CompactReader(std::string(11, '\xff')).number());
    EXPECT_FALSE(CompactReader(std::string(9, '\xff') + '\2').number());
    const std::string tooLarge = encodedNumber(1) + encodedNumber(std::uint64_t{1} << 32U);
    EXPECT_FALSE(CompactReader(tooLarge).list());
}

TEST(CompactListsTest, randomBytesAreDecodedOrRejected)
{
    core::RandomSequence random(4);
    for (int round = 0; round < 2000; ++round) {
        std::string bytes;
        for (auto size = random.nextBelow(60); size > 0; --size) {
            bytes.push_back(static_cast<char>(random.nextBelow(256)));
        }
        std::size_t numbers = 0;
        if (const auto lists = CompactReader(bytes).lists()) {
            for (const auto &list : *lists) {
                numbers += list.size() + 1;
            }
        }
        EXPECT_LE(numbers, bytes.size());
    }
}

} // namespace lycheelanding::rankgroups

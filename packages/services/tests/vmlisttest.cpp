#include "lycheelanding/services/vmlist.h"

#include <gtest/gtest.h>

namespace lycheelanding::services {

namespace {

const std::string soundRow
    = R"({"id":"vm-1","dataCentre":"a","role":"backend","state":"live","address":"10.0.0.1:7000"})";

std::vector<VmRow> rowsBeside(const std::string &row)
{
    const auto rows = vmRowsFrom(R"({"vms":[)" + row + "," + soundRow + "]}");
    return rows.value_or(std::vector<VmRow>());
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::vector<std::string> rowsWithNumber(const std::string &number)
{
    return {R"({"id":)" + number + "}", R"({"id":"vm-2","address":)" + number + "}", number,
            R"({"id":"vm-2","\"":")" + number + R"(","role":)" + number + "}"};
}

} // namespace

TEST(VmList, readsRows)
{
    const auto rows = vmRowsFrom(R"({"vms":[)" + soundRow + "]}");
    ASSERT_TRUE(rows);
    ASSERT_EQ(rows->size(), 1U);
    EXPECT_EQ(rows->front().vm, core::VmId("vm-1"));
    EXPECT_EQ(rows->front().role, VmRole::Backend);
    EXPECT_EQ(rows->front().address, "10.0.0.1:7000");
}

// One row of another writer ended each process that read the list.
TEST(VmList, rowWithAFieldOfAnotherTypeIsLeftOutAndTheOthersHold)
{
    for (const auto *const row :
         {R"({"id":7})", R"({"id":null})", R"({"id":"vm-2","address":80})", R"({"id":"vm-2","state":["live"]})",
          R"({"id":"vm-2","role":{}})", R"({"id":"vm-2","dataCentre":1e30})"}) {
        const auto rows = rowsBeside(row);
        ASSERT_EQ(rows.size(), 1U) << row;
        EXPECT_EQ(rows.front().vm, core::VmId("vm-1"));
    }
}

TEST(VmList, deeplyNestedRowIsLeftOutAndTheOthersHold)
{
    const auto rows = rowsBeside(R"({"id":)" + nested(100'000) + "}");
    ASSERT_EQ(rows.size(), 1U);
    EXPECT_EQ(rows.front().vm, core::VmId("vm-1"));
}

// One row with a number that the parser refuses made the whole list unreadable for as long as it stayed.
TEST(VmList, rowWithANumberTooLargeIsLeftOutAndTheOthersHold)
{
    for (const std::string &number : {std::string("1e999"), std::string("-1e999"), std::string(400, '9')}) {
        for (const auto &row : rowsWithNumber(number)) {
            const auto rows = rowsBeside(row);
            ASSERT_EQ(rows.size(), 1U) << row;
            EXPECT_EQ(rows.front().vm, core::VmId("vm-1"));
        }
    }
    // Digits in texts are no numbers.
    const auto rows = rowsBeside(R"({"id":"1e999","address":"1e999","new":1e999})");
    ASSERT_EQ(rows.size(), 2U);
    EXPECT_EQ(rows.front().address, "1e999");
}

TEST(VmList, otherTextIsNoListing)
{
    EXPECT_FALSE(vmRowsFrom(""));
    EXPECT_FALSE(vmRowsFrom("[]"));
    EXPECT_FALSE(vmRowsFrom("1e999"));
    EXPECT_FALSE(vmRowsFrom(R"({"vms":7})"));
    EXPECT_FALSE(vmRowsFrom(R"({"vms":[)"));
}

} // namespace lycheelanding::services

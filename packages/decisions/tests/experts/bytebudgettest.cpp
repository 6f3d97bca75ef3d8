#include "lycheelanding/decisions/experts/bytebudget.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace lycheelanding::decisions::experts {

RC_GTEST_PROP(ByteBudgetTest, neverGrantsMoreThanCapacityAndRate, ())
{
    const auto rate = *rc::gen::inRange<std::uint64_t>(0, 1000);
    const auto capacity = *rc::gen::inRange<std::uint64_t>(0, 5000);
    ByteBudget budget(rate, capacity);
    core::TimePoint now;
    std::uint64_t spent = 0;
    double minutes = 0;
    const int steps = *rc::gen::inRange(0, 50);
    for (int step = 0; step < steps; ++step) {
        const int seconds = *rc::gen::inRange(0, 300);
        now += std::chrono::seconds(seconds);
        minutes += seconds / 60.0;
        const auto available = budget.available(now);
        RC_ASSERT(available <= capacity);
        const auto bytes = *rc::gen::inRange<std::uint64_t>(0, available + 1);
        budget.charge(bytes, now);
        spent += bytes;
        RC_ASSERT(static_cast<double>(spent)
                  <= static_cast<double>(capacity) + minutes * static_cast<double>(rate) + 1);
    }
}

TEST(ByteBudgetTest, overdraftIsRefilledBeforeBytesAreAvailable)
{
    ByteBudget budget(60, 100);
    const core::TimePoint start(std::chrono::hours(1));
    budget.charge(160, start);
    EXPECT_EQ(budget.available(start), 0U);
    EXPECT_EQ(budget.available(start + std::chrono::seconds(60)), 0U);
    EXPECT_EQ(budget.available(start + std::chrono::seconds(90)), 30U);
    budget.configure(60, 10, start + std::chrono::seconds(90));
    EXPECT_EQ(budget.available(start + std::chrono::seconds(90)), 10U);
}

} // namespace lycheelanding::decisions::experts

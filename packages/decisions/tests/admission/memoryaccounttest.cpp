#include "lycheelanding/decisions/admission/memoryaccount.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <tuple>
#include <vector>

namespace lycheelanding::decisions::admission {

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = kilobyte * kilobyte;
constexpr std::size_t bodyBytes = 4 * megabyte;
const core::TimePoint start{};
const core::TimePoint later = start + std::chrono::seconds(2);

MemoryAccountSettings settings()
{
    MemoryAccountSettings result;
    result.shares = {megabyte, 2 * bodyBytes, megabyte};
    return result;
}

MemoryHolder holderOf(MemoryAccount &account, std::size_t bytes, core::TimePoint now)
{
    const auto holder = account.add(now);
    EXPECT_TRUE(account.draw(holder, bytes));
    account.setClosable(holder, true);
    return holder;
}

} // namespace

// Large bodies took all memory of a VM, so that small requests were not answered either.
TEST(MemoryAccount, smallRequestsHaveAShareOfTheirOwn)
{
    MemoryAccount account(settings());
    holderOf(account, bodyBytes, start);
    holderOf(account, bodyBytes, start);
    const auto large = account.add(start);
    EXPECT_FALSE(account.draw(large, bodyBytes));
    EXPECT_TRUE(account.draw(large, kilobyte));
    EXPECT_FALSE(account.draw(large, 100 * kilobyte));
    account.remove(large);
    EXPECT_EQ(account.heldBytes(), 2 * bodyBytes);
}

// A request that is completed before it is closed keeps its memory; nothing else was closed while it was forwarded.
TEST(MemoryAccount, holderThatIsNoLongerClosableIsNotCountedAsFreed)
{
    MemoryAccount account(settings());
    const auto completed = holderOf(account, bodyBytes, start);
    EXPECT_EQ(account.holdersToClose(2 * bodyBytes, later), std::vector<MemoryHolder>{completed});
    const auto stopped = holderOf(account, bodyBytes, start);
    account.setClosable(completed, false);
    EXPECT_EQ(account.holdersToClose(bodyBytes, later), std::vector<MemoryHolder>{stopped});
}

// Requests of the smallest VM that is deployed were refused although nothing else was held.
TEST(MemoryAccount, singleRequestWithinTheLimitsAlwaysFits)
{
    for (const std::size_t vmBytes : {8 * megabyte, 64 * megabyte, 112 * megabyte}) {
        MemoryAccountSettings small;
        small.shares = memorySharesOf(vmBytes, bodyBytes);
        MemoryAccount account(small);
        EXPECT_TRUE(account.draw(account.add(start), bodyBytes + 64 * kilobyte)) << vmBytes;
    }
}

// An upload that makes progress must not be the victim of others that have stopped.
TEST(MemoryAccount, closesWhatHasHeldMostWithoutProgressForLongest)
{
    MemoryAccount account(settings());
    const auto stopped = holderOf(account, bodyBytes / 2, start);
    const auto smaller = holderOf(account, bodyBytes / 4, start);
    const auto slow = holderOf(account, bodyBytes, start);
    const auto running = holderOf(account, kilobyte * 100, start);
    account.progressed(slow, later);
    account.setClosable(running, false);
    EXPECT_TRUE(account.holdersToClose(kilobyte, later).empty());
    EXPECT_EQ(account.holdersToClose(bodyBytes / 2, later), std::vector<MemoryHolder>{stopped});
    EXPECT_TRUE(account.holdersToClose(bodyBytes / 2, later).empty()) << "its memory is about to be released";
    EXPECT_EQ(account.holdersToClose(bodyBytes, later), std::vector<MemoryHolder>{smaller});
    EXPECT_TRUE(account.holdersToClose(2 * bodyBytes, later).empty()) << "the slow one makes progress";
}

// Answers for 600 callers that read nothing arrived within the time for which inactive callers are kept, and occupied
// more than the memory of the VM.
TEST(MemoryAccount, closesActiveHoldersWhenTheSharesAreExceeded)
{
    MemoryAccount account(settings());
    const auto small = holderOf(account, bodyBytes, start);
    const auto large = holderOf(account, bodyBytes, start);
    account.drawExisting(large, bodyBytes);
    EXPECT_EQ(account.holdersToClose(0, start), std::vector<MemoryHolder>{large});
    account.remove(large);
    EXPECT_TRUE(account.holdersToClose(0, start).empty());
    account.remove(small);
}

// An account that loses bytes refuses all callers in the end, and one that gains bytes bounds nothing.
RC_GTEST_PROP(MemoryAccountFuzz, heldBytesStayWithinTheSharesAndAddUp, ())
{
    MemoryAccount account(settings());
    std::map<MemoryHolder, std::size_t> held;
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 5), rc::gen::inRange(0, 20), rc::gen::inRange(0, 2'000'000)));
    core::TimePoint now = start;
    for (const auto &[action, index, amount] : steps) {
        const auto bytes = static_cast<std::size_t>(amount);
        now += std::chrono::milliseconds(100);
        if (action == 0 || held.empty()) {
            held[account.add(now)] = 0;
            continue;
        }
        const auto entry = std::next(held.begin(), index % static_cast<int>(held.size()));
        if (action == 1) {
            account.remove(entry->first);
            held.erase(entry);
        } else if (action == 2) {
            account.release(entry->first, std::min(bytes, entry->second));
            entry->second -= std::min(bytes, entry->second);
        } else if (account.draw(entry->first, bytes)) {
            entry->second += bytes;
            account.setClosable(entry->first, true);
        } else {
            for (const auto id : account.holdersToClose(bytes, now)) {
                account.remove(id);
                held.erase(id);
            }
        }
        std::size_t sum = 0;
        for (const auto &[id, each] : held) {
            sum += each;
        }
        RC_ASSERT(account.heldBytes() == sum);
        RC_ASSERT(sum <= account.limitBytes());
    }
}

} // namespace lycheelanding::decisions::admission

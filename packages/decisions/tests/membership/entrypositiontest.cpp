#include "lycheelanding/decisions/membership/entryposition.h"

#include <gtest/gtest.h>

namespace lycheelanding::decisions::membership {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint start(1h);

} // namespace

// An entry that believes a side which has just started sends as much as if it were alone.
TEST(EntryPosition, sideThatKnowsFewerEntriesIsNotBelieved)
{
    EntryPositionTracker tracker;
    EXPECT_FALSE(tracker.position());
    tracker.reported({4, 2}, start);
    tracker.reported({1, 0}, start + 1s);
    EXPECT_EQ(tracker.position(), (EntryPosition{4, 2}));
}

TEST(EntryPosition, entriesThatHaveEndedCountForSomeSecondsOnly)
{
    EntryPositionTracker tracker;
    tracker.reported({4, 2}, start);
    for (auto passed = 100ms; passed <= 4s; passed += 100ms) {
        tracker.reported({3, 1}, start + passed);
    }
    EXPECT_EQ(tracker.position(), (EntryPosition{3, 1}));
}

} // namespace lycheelanding::decisions::membership

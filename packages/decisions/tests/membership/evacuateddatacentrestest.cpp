#include "lycheelanding/decisions/membership/evacuateddatacentres.h"

#include "lycheelanding/decisions/distribution/prefixfollower.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace lycheelanding::decisions::membership {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint start(1h);
const core::DataCentreId east("east");
const core::DataCentreId west("west");

/// An entry that has listed the evacuation of one data centre.
struct EvacuatedEast
{
    EvacuatedEast() { states.listed({{east, 10}}, 12, start); }

    EvacuatedDataCentres states{EvacuationSettings()};
};

} // namespace

TEST(EvacuatedDataCentres, firstListingGivesAllEvacuations)
{
    EvacuatedDataCentres states{EvacuationSettings()};
    EXPECT_EQ(states.listed({{east, 3}, {west, 7}}, 9, start).size(), 2U);
    EXPECT_TRUE(states.contains(east) && states.contains(west));
}

// While the store is away, or the VM was suspended, nothing is reported for any length of time.
TEST(EvacuatedDataCentres, lastKnownStateHoldsWithoutReports)
{
    EvacuatedEast entry;
    EXPECT_TRUE(entry.states.tick(start + 24h).empty());
    EXPECT_TRUE(entry.states.contains(east));
}

// After a suspension or when the store was compacted (410), removals and writes are seen by their listing only.
TEST(EvacuatedDataCentres, laterListingReplacesTheState)
{
    EvacuatedEast entry;
    EXPECT_EQ(entry.states.listed({{west, 20}}, 30, start + 1h).size(), 2U);
    EXPECT_TRUE(entry.states.contains(west) && !entry.states.contains(east));
}

// A listing that the store began before the write took the data centre back.
TEST(EvacuatedDataCentres, listingBeforeTheWriteEndsNothing)
{
    EvacuatedEast entry;
    EXPECT_TRUE(entry.states.listed({}, 9, start).empty());
    EXPECT_TRUE(entry.states.contains(east));
}

// An evacuation that is written when a watch has just become silent has to be known within 5 s.
TEST(EvacuatedDataCentres, silentWatchLeavesTimeForTheListing)
{
    distribution::PrefixFollower follower{distribution::FollowerSettings()};
    follower.start(start);
    follower.pageRead(distribution::StoreCallNumber(1), {}, start);
    auto now = start;
    for (std::size_t calls = 0; calls == 0; now += 25ms) {
        for (const auto &action : follower.tick(now)) {
            calls += std::holds_alternative<distribution::ReadPage>(action) ? 1 : 0;
        }
        ASSERT_LT(now, start + 3s);
    }
}

TEST(EvacuatedDataCentres, evacuationThatARestoredStoreLacksHoldsUntilItIsWrittenAgain)
{
    EvacuatedEast entry;
    entry.states.storeRestored();
    EXPECT_TRUE(entry.states.tick(start + 1h).empty()) << "the restored store has not been read yet";
    entry.states.listed({}, 5, start + 1h);
    entry.states.tick(start + 1h + 2499ms);
    EXPECT_TRUE(entry.states.contains(east));
    auto repeated = entry.states;
    EXPECT_TRUE(repeated.written({east, 6}).empty());
    EXPECT_TRUE(repeated.tick(start + 2h).empty());
    EXPECT_EQ(entry.states.tick(start + 1h + 2500ms).size(), 1U);
    EXPECT_FALSE(entry.states.contains(east));
}

// The revisions of the restored store are lower than those known.
TEST(EvacuatedDataCentres, evacuationThatOnlyTheCopyHasEndsWithItsRepeatedRemoval)
{
    EvacuatedEast entry;
    entry.states.removed({east, 11});
    entry.states.storeRestored();
    EXPECT_EQ(entry.states.listed({{east, 4}}, 5, start).size(), 1U);
    EXPECT_EQ(entry.states.removed({east, 6}).size(), 1U);
    EXPECT_FALSE(entry.states.contains(east));
}

// Delayed and repeated reports must not bring back an older state.
RC_GTEST_PROP(EvacuatedDataCentres, newestRevisionOfEachDataCentreWins, ())
{
    EvacuatedDataCentres states{EvacuationSettings()};
    std::map<std::uint64_t, std::uint64_t> newest;
    const auto reports = *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(1, 200));
    for (const auto revision : reports) {
        // The revision tells what was done to which data centre: even ones write, odd ones remove.
        const auto number = revision / 2 % 3;
        const Evacuation evacuation{core::DataCentreId(std::to_string(number)), revision};
        newest[number] = std::max(newest[number], revision);
        if (revision % 2 == 0) {
            states.written(evacuation);
        } else {
            states.removed(evacuation);
        }
        RC_ASSERT(states.contains(evacuation.dataCentre) == (newest[number] % 2 == 0));
    }
}

} // namespace lycheelanding::decisions::membership

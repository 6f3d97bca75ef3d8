#include "lycheelanding/decisions/membership/entrysubset.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace lycheelanding::decisions::membership {

namespace {

std::vector<SubsetMember> membersOf(const std::string &name, std::size_t count)
{
    std::vector<SubsetMember> members;
    for (std::size_t index = 0; index < count; ++index) {
        members.push_back({name + std::to_string(index), core::DataCentreId("dc" + std::to_string(index % 3))});
    }
    return members;
}

/// Number of entries whose subset contains each backend server.
std::vector<std::size_t> entriesPerBackend(const std::vector<SubsetMember> &entries,
                                           const std::vector<SubsetMember> &backends, const SubsetSettings &settings)
{
    std::vector<std::size_t> counts(backends.size(), 0);
    for (const SubsetMember &entry : entries) {
        for (const std::size_t backend : entrySubset(entry, entries, backends, settings)) {
            ++counts[backend];
        }
    }
    return counts;
}

} // namespace

RC_GTEST_PROP(EntrySubsetTest, sizesAreBoundedAndEveryBackendServerIsCovered, ())
{
    const auto entries = membersOf("entry", *rc::gen::inRange<std::size_t>(1, 20));
    const auto backends = membersOf("side", *rc::gen::inRange<std::size_t>(1, 60));
    SubsetSettings settings;
    settings.maxSize = *rc::gen::inRange<std::size_t>(1, 40);
    settings.targetSize = std::min(settings.maxSize, *rc::gen::inRange<std::size_t>(1, 40));
    settings.minEntriesPerBackend = *rc::gen::inRange<std::size_t>(1, 4);
    for (const SubsetMember &entry : entries) {
        const std::size_t size = entrySubset(entry, entries, backends, settings).size();
        RC_ASSERT(size <= settings.maxSize);
        RC_ASSERT(size >= std::min(settings.targetSize, backends.size()));
    }
    const auto counts = entriesPerBackend(entries, backends, settings);
    const std::size_t lowest = *std::min_element(counts.begin(), counts.end());
    if (entries.size() * settings.maxSize >= backends.size()) {
        RC_ASSERT(lowest >= 1U);
    }
    if (settings.maxSize >= backends.size()) {
        RC_ASSERT(lowest >= std::min(settings.minEntriesPerBackend, entries.size()));
    }
}

TEST(EntrySubsetTest, doesNotDependOnTheOrderOfTheLists)
{
    auto entries = membersOf("entry", 9);
    auto backends = membersOf("side", 40);
    const SubsetMember localEntry = entries[4];
    const auto namesOf = [&] {
        std::vector<std::string> names;
        for (const std::size_t backend : entrySubset(localEntry, entries, backends, SubsetSettings{})) {
            names.push_back(backends[backend].name);
        }
        std::sort(names.begin(), names.end());
        return names;
    };
    const auto before = namesOf();
    std::reverse(entries.begin(), entries.end());
    std::reverse(backends.begin(), backends.end());
    EXPECT_EQ(namesOf(), before);
}

TEST(EntrySubsetTest, atFullSizeEveryBackendServerIsCoveredFromItsDataCentre)
{
    const auto entries = membersOf("entry", 390);
    const auto backends = membersOf("side", 810);
    const auto subset = entrySubset(entries[0], entries, backends, SubsetSettings{});
    EXPECT_GE(subset.size(), 20U);
    EXPECT_LE(subset.size(), 40U);
    for (const std::size_t backend : subset) {
        EXPECT_EQ(backends[backend].dataCentre, entries[0].dataCentre);
    }
}

} // namespace lycheelanding::decisions::membership

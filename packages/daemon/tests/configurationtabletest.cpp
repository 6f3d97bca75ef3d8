#include "shared/configurationtable.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

namespace lycheelanding::daemon::shared {

TEST(ConfigurationTableTest, observersSeeRisingVersionsDuringConcurrentInstallations)
{
    constexpr std::uint64_t highestVersion = 400;
    ConfigurationTable table;
    std::vector<std::uint64_t> notifiedVersions;
    table.addObserver([&](const ActiveConfigurationPointer &active) {
        notifiedVersions.push_back(active->version.number());
        std::this_thread::yield();
    });
    std::atomic<std::uint64_t> lastAssigned = 0;
    std::vector<std::thread> threads(8);
    for (auto &thread : threads) {
        thread = std::thread([&] {
            for (std::uint64_t version = ++lastAssigned; version <= highestVersion; version = ++lastAssigned) {
                table.install(core::ConfigurationVersion(version), std::string(configuration::emptyDocumentText()));
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    EXPECT_EQ(table.version().number(), highestVersion);
    ASSERT_FALSE(notifiedVersions.empty());
    EXPECT_EQ(notifiedVersions.back(), highestVersion);
    EXPECT_TRUE(std::is_sorted(notifiedVersions.begin(), notifiedVersions.end()));
}

// Guards against an entry that refuses configured organisations as unknown just after its start: it took requests once
// it knew of a version, before the version was installed.
TEST(ConfigurationTableTest, versionIsAppliedOnceAllObserversHaveIt)
{
    ConfigurationTable table;
    std::vector<bool> isAppliedInObserver;
    for (int number = 0; number < 2; ++number) {
        table.addObserver([&](const auto &) { isAppliedInObserver.push_back(table.isApplied()); });
    }
    EXPECT_FALSE(table.isApplied());
    table.install(core::ConfigurationVersion(1), std::string(configuration::emptyDocumentText()));
    EXPECT_EQ(isAppliedInObserver, (std::vector<bool>{false, false}));
    EXPECT_TRUE(table.isApplied());
}

} // namespace lycheelanding::daemon::shared

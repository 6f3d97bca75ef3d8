#include "entry/private/peerselection.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace lycheelanding::daemon::entry {

namespace {

const std::vector<std::string> dataCentres{"a", "b", "c"};

/// Entries and backend servers of two models, distributed over three data centres.
struct Fleet
{
    Fleet(std::size_t entries, std::size_t backends)
    {
        std::map<std::string, configuration::Group> groups;
        for (std::size_t number = 0; number < entries + backends; ++number) {
            const bool isEntry = number < entries;
            services::VmRow row;
            row.vm = core::VmId((isEntry ? "entry-" : "backend-") + std::to_string(number));
            row.dataCentre = core::DataCentreId(dataCentres[number % dataCentres.size()]);
            row.role = isEntry ? services::VmRole::Entry : services::VmRole::Backend;
            row.address = "127.0.0.1:" + std::to_string(1000 + number);
            rows.push_back(row);
            if (!isEntry) {
                auto &group = groups[number % 2 == 0 ? "even" : "odd"];
                group.ranks.push_back({core::RankIndex(group.ranks.size()), row.vm});
            }
        }
        for (auto &[name, group] : groups) {
            group.id = core::GroupId(name);
            group.model = core::ModelId(name);
            document.groups.push_back(group);
        }
    }

    std::vector<shared::PeerTarget> targetsOf(std::size_t entry) const
    {
        return sideTargets(rows, document, rows[entry].vm, rows[entry].dataCentre);
    }

    std::vector<services::VmRow> rows;
    configuration::Document document;
};

} // namespace

TEST(PeerSelectionTest, entryConnectsToAllSidesOfASmallFleet)
{
    EXPECT_EQ(Fleet(4, 20).targetsOf(0).size(), 20U);
}

TEST(PeerSelectionTest, entriesTogetherCoverALargeFleetWithFewConnectionsEach)
{
    constexpr std::size_t entries = 60;
    constexpr std::size_t backends = 120;
    const Fleet fleet(entries, backends);
    std::map<core::VmId, std::size_t> entriesByVm;
    for (std::size_t entry = 0; entry < entries; ++entry) {
        std::set<std::size_t> models;
        const auto targets = fleet.targetsOf(entry);
        for (const auto &target : targets) {
            ++entriesByVm[target.vm];
            models.insert(target.endpoint.port() % 2);
        }
        EXPECT_LE(targets.size(), 40U);
        EXPECT_EQ(models.size(), 2U) << "entry " << entry << " does not connect to backend servers of both models";
    }
    EXPECT_EQ(entriesByVm.size(), backends);
}

TEST(PeerSelectionTest, entryConnectsToAFewEntriesOfLocalAndRemoteDataCentres)
{
    const Fleet fleet(60, 0);
    const auto targets = entryTargets(fleet.rows, fleet.rows[0].vm, fleet.rows[0].dataCentre);
    EXPECT_EQ(targets.size(), 5U);
    for (const auto &target : targets) {
        EXPECT_NE(target.vm, fleet.rows[0].vm);
    }
}

} // namespace lycheelanding::daemon::entry

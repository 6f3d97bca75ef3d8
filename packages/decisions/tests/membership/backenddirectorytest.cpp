#include "lycheelanding/decisions/membership/backenddirectory.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lycheelanding::decisions::membership {

namespace {

using namespace std::chrono_literals;

RegisteredBackend backendNamed(const std::string &id)
{
    RegisteredBackend backend;
    backend.id = BackendId(id);
    backend.service = core::ServiceId("drafts");
    backend.address = "10.0.0.1:" + std::to_string(8000 + id.front());
    return backend;
}

RegisteredBackend drainingNamed(const std::string &id)
{
    auto backend = backendNamed(id);
    backend.isDraining = true;
    return backend;
}

bool isUnusable(const DirectoryChanges &changes, const std::string &id, DirectoryReason reason)
{
    if (changes.size() != 1) {
        return false;
    }
    const auto *gone = std::get_if<BackendUnusable>(&changes.front());
    return gone != nullptr && gone->id == BackendId(id) && gone->reason == reason;
}

const core::TimePoint start = core::TimePoint(1h);

} // namespace

TEST(BackendDirectory, backendIsUsableUntilItDrainsOrIsRemoved)
{
    BackendDirectory directory({});
    EXPECT_EQ(directory.listed({backendNamed("a"), backendNamed("b"), drainingNamed("c")}, start).size(), 2U);
    EXPECT_TRUE(isUnusable(directory.registered(drainingNamed("a"), start), "a", DirectoryReason::Draining));
    EXPECT_TRUE(isUnusable(directory.removed(BackendId("b"), start), "b", DirectoryReason::Removed));
    EXPECT_EQ(directory.usableCount(), 0U);
}

TEST(BackendDirectory, unreadableRegistrationRemovesOnlyItsBackend)
{
    BackendDirectory directory({});
    directory.listed({backendNamed("a"), backendNamed("b")}, start);
    EXPECT_TRUE(isUnusable(directory.unreadable(BackendId("a"), start), "a", DirectoryReason::Unreadable));
    EXPECT_EQ(directory.usableCount(), 1U);
}

// A registry that comes back from an older copy lists what has left meanwhile.
TEST(BackendDirectory, drainingBackendGetsNoWorkAlthoughARestoredRegistryListsItAsReady)
{
    BackendDirectory directory({});
    auto ready = backendNamed("a");
    ready.startedAtMs = 5000;
    auto draining = ready;
    draining.isDraining = true;
    directory.listed({ready}, start);
    directory.registered(draining, start);
    directory.registryRestored(start + 1s);
    EXPECT_TRUE(directory.listed({ready}, start + 1s).empty());
    // What the backend server wrote before is written again.
    EXPECT_TRUE(directory.registered(ready, start + 2s).empty());
    EXPECT_EQ(directory.usableCount(), 0U);
    // It has started again under its name.
    ready.startedAtMs = 9000;
    EXPECT_EQ(directory.registered(ready, start + 3s).size(), 1U);
}

// Some backend servers say only in their answers that they leave; their registration stays ready.
TEST(BackendDirectory, backendThatSaidItLeavesStaysUnusableWhateverItsRegistrationSays)
{
    BackendDirectory directory({});
    auto backend = backendNamed("a");
    backend.startedAtMs = 1000;
    directory.listed({backend}, start);
    EXPECT_TRUE(isUnusable(directory.leaving(backend.id, start), "a", DirectoryReason::Leaving));
    EXPECT_TRUE(directory.leaving(backend.id, start).empty());
    // Heartbeats for longer than a backend server that has left is remembered.
    for (auto now = start + 1s; now < start + 5min; now += 1s) {
        ++backend.revision;
        ASSERT_TRUE(directory.registered(backend, now).empty());
        directory.tick(now);
    }
    EXPECT_TRUE(directory.listed({backend}, start + 5min).empty());
    directory.registryRestored(start + 5min);
    EXPECT_TRUE(directory.listed({backend}, start + 5min).empty());
    directory.registryRegained({start, start + 5min}, start + 5min);
    EXPECT_TRUE(directory.listed({backend}, start + 5min).empty());
    EXPECT_EQ(directory.usableCount(), 0U);

    backend.startedAtMs = 2000;
    EXPECT_EQ(directory.registered(backend, start + 5min).size(), 1U);
    EXPECT_EQ(directory.usableCount(), 1U);
}

TEST(BackendDirectory, removedBackendGetsNoWorkUntilItRegistersInTheRestoredRegistry)
{
    BackendDirectory directory({});
    directory.listed({backendNamed("a")}, start);
    directory.removed(BackendId("a"), start + 500ms);
    directory.registryRestored(start + 1s);
    EXPECT_TRUE(directory.listed({backendNamed("a")}, start + 1s).empty());
    EXPECT_EQ(directory.registered(backendNamed("a"), start + 2s).size(), 1U);
}

TEST(BackendDirectory, backendThatARestoredRegistryLacksIsKeptUntilItMayHaveRegistered)
{
    const DirectorySettings settings;
    BackendDirectory directory(settings);
    directory.listed({backendNamed("a"), backendNamed("b")}, start);
    directory.registryRestored(start + 1s);
    EXPECT_TRUE(directory.listed({backendNamed("a")}, start + 1s).empty());
    EXPECT_TRUE(directory.tick(start + 1s + settings.reregistrationTimeout - 1ms).empty());
    EXPECT_TRUE(isUnusable(directory.tick(start + 1s + settings.reregistrationTimeout), "b", DirectoryReason::Lapsed));
}

// Revisions are given out again: the later registration at an address may have the lower one.
TEST(BackendDirectory, laterRegistrationAtAnAddressWinsAcrossARestore)
{
    BackendDirectory directory({});
    auto first = backendNamed("a");
    first.revision = 900;
    auto second = backendNamed("b");
    second.address = first.address;
    second.revision = 40;
    directory.listed({first}, start);
    directory.registryRestored(start + 1s);
    directory.listed({first}, start + 1s);
    second.startedAtMs = 8000;
    first.startedAtMs = 5000;
    directory.registered(first, start + 2s);
    directory.registered(second, start + 2s);
    EXPECT_TRUE(directory.registered(first, start + 3s).empty());
    EXPECT_EQ(directory.usableCount(), 1U);
}

TEST(BackendDirectory, lapsedRegistrationMayReturnAfterAnOutage)
{
    BackendDirectory directory({});
    directory.listed({backendNamed("a"), backendNamed("b")}, start);
    directory.registryRegained({start, start + 5s}, start + 5s);
    EXPECT_TRUE(directory.listed({}, start + 5s).empty());
    EXPECT_TRUE(directory.registered(backendNamed("a"), start + 6s).empty());
    EXPECT_TRUE(directory.tick(start + 7s).empty());
    EXPECT_TRUE(isUnusable(directory.tick(start + 7500ms), "b", DirectoryReason::Lapsed));
    EXPECT_EQ(directory.usableCount(), 1U);
}

TEST(BackendDirectory, drainingEndsWorkEvenRightAfterAnOutage)
{
    BackendDirectory directory({});
    directory.listed({backendNamed("a")}, start);
    directory.registryRegained({start, start + 5s}, start + 5s);
    EXPECT_TRUE(isUnusable(directory.listed({drainingNamed("a")}, start + 5s), "a", DirectoryReason::Draining));
}

// A registration of another writer, for a service that does not exist, took the place of the backend server that has
// the same address.
TEST(BackendDirectory, registrationForAnUnknownServiceReplacesNoBackendAtItsAddress)
{
    BackendDirectory directory({});
    directory.servicesChanged({core::ServiceId("drafts")}, start);
    auto sound = backendNamed("a");
    sound.revision = 10;
    auto odd = backendNamed("b");
    odd.service = core::ServiceId("nowhere");
    odd.address = sound.address;
    odd.revision = 20;
    odd.startedAtMs = 9000;
    EXPECT_EQ(directory.listed({sound, odd}, start).size(), 1U);
    EXPECT_TRUE(directory.registered(odd, start).empty());
    EXPECT_EQ(directory.usableCount(), 1U);
    EXPECT_TRUE(isUnusable(directory.removed(BackendId("a"), start), "a", DirectoryReason::Removed));
}

// Registrations and the configuration are read independently.
TEST(BackendDirectory, backendIsUsableOnceItsServiceExists)
{
    BackendDirectory directory({});
    auto early = backendNamed("a");
    early.service = core::ServiceId("quotes");
    EXPECT_EQ(directory.listed({early, backendNamed("b")}, start).size(), 2U);
    EXPECT_TRUE(isUnusable(directory.servicesChanged({core::ServiceId("drafts")}, start), "a",
                           DirectoryReason::UnknownService));
    EXPECT_EQ(directory.servicesChanged({core::ServiceId("drafts"), core::ServiceId("quotes")}, start).size(), 1U);
    EXPECT_EQ(directory.usableCount(), 2U);
    directory.servicesChanged({core::ServiceId("drafts")}, start);
    directory.removed(BackendId("a"), start);
    EXPECT_TRUE(directory.servicesChanged({core::ServiceId("quotes"), core::ServiceId("drafts")}, start).empty());
    EXPECT_EQ(directory.usableCount(), 1U);
}

TEST(BackendDirectory, changedRegistrationIsReportedAgain)
{
    BackendDirectory directory({});
    directory.listed({backendNamed("a")}, start);
    auto moved = backendNamed("a");
    moved.address = "10.0.0.2:8000";
    const auto changes = directory.registered(moved, start);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(std::get<BackendUsable>(changes.front()).backend.address, "10.0.0.2:8000");
}

/// After a power loss all backend servers register under new names before their old registrations lapse. Requests sent
/// to the old names were refused as misdirected until no backend server was left to try.
TEST(BackendDirectory, laterRegistrationAtOneAddressReplacesTheEarlierOne)
{
    for (const bool isLaterFirst : {false, true}) {
        BackendDirectory directory({});
        auto earlier = backendNamed("a");
        earlier.revision = 10;
        auto later = backendNamed("b");
        later.address = earlier.address;
        later.revision = 20;
        directory.listed({isLaterFirst ? later : earlier}, start);
        directory.registered(isLaterFirst ? earlier : later, start);
        EXPECT_EQ(directory.usableCount(), 1U);
        EXPECT_TRUE(isUnusable(directory.removed(BackendId("b"), start), "b", DirectoryReason::Removed));
    }
}

/// In any order of events, a backend server is not in use when its last registration says "draining", or when it has
/// none and no outage was long enough for a lapse, or the re-registration timeout after it has passed.
RC_GTEST_PROP(BackendDirectoryFuzz, lastRegistrationDeterminesUse, ())
{
    const DirectorySettings settings;
    BackendDirectory directory(settings);
    std::map<std::string, bool> registrations;
    std::map<std::string, bool> inUse;
    core::TimePoint now = start;
    bool isLost = false;
    core::TimePoint lostAt;
    core::TimePoint mayLapseUntil = start;
    const auto apply = [&inUse](const DirectoryChanges &changes) {
        for (const auto &change : changes) {
            if (const auto *usable = std::get_if<BackendUsable>(&change)) {
                inUse[usable->backend.id.text()] = true;
            } else {
                inUse.erase(std::get<BackendUnusable>(change).id.text());
            }
        }
    };
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 800));
        const std::string name(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            registrations[name] = true;
            apply(isLost ? DirectoryChanges() : directory.registered(backendNamed(name), now));
            break;
        case 1:
            registrations[name] = false;
            apply(isLost ? DirectoryChanges() : directory.registered(drainingNamed(name), now));
            break;
        case 2:
            registrations.erase(name);
            apply(isLost ? DirectoryChanges() : directory.removed(BackendId(name), now));
            break;
        case 3:
            lostAt = isLost ? lostAt : now;
            isLost = true;
            break;
        default:
            if (isLost) {
                directory.registryRegained({lostAt, now}, now);
                if (now - lostAt >= 2 * settings.heartbeatInterval) {
                    mayLapseUntil = now + settings.reregistrationTimeout;
                }
                isLost = false;
            }
            std::vector<RegisteredBackend> all;
            all.reserve(registrations.size());
            for (const auto &[each, isReady] : registrations) {
                all.push_back(isReady ? backendNamed(each) : drainingNamed(each));
            }
            apply(directory.listed(all, now));
        }
        apply(directory.tick(now));
        if (isLost) {
            continue;
        }
        for (const auto &[each, isUsed] : inUse) {
            const auto known = registrations.find(each);
            RC_ASSERT(known == registrations.end() || known->second);
            RC_ASSERT(known != registrations.end() || now < mayLapseUntil);
        }
    }
}

} // namespace lycheelanding::decisions::membership

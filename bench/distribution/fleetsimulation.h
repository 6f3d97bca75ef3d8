#pragma once

#include "lycheelanding/core/random.h"
#include "lycheelanding/decisions/distribution/configurationinstaller.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <variant>
#include <vector>

namespace lycheelanding::bench {

struct FleetPlan
{
    std::size_t entries = 0;
    std::size_t sides = 0;
    std::size_t dataCentres = 3;
    std::uint64_t seed = 1;
};

struct StoreCalls
{
    std::uint64_t reads = 0;
    std::uint64_t watches = 0;
};

/// Simulates in virtual time how a fleet distributes configurations: an installer for each process, the links between
/// the processes and a store that can be unavailable.
class FleetSimulation
{
public:
    explicit FleetSimulation(const FleetPlan &plan);

    void run(core::Duration time);
    /// Writes `version` to the store and notifies a random entry, as if that entry had accepted the patch.
    void accept(core::ConfigurationVersion version);
    void setStoreUp(bool isUp) { m_isStoreUp = isUp; }

    core::TimePoint now() const { return m_now; }
    /// For each process, the time from `since` until it installed its current version; ascending.
    std::vector<core::Duration> installationTimes(core::TimePoint since) const;
    std::size_t processesWithVersion(core::ConfigurationVersion version) const;
    std::size_t staleProcesses() const;
    std::uint64_t bodiesSent() const;
    /// The largest number of bodies that any one process has sent.
    std::uint64_t maxBodiesByOneProcess() const;
    StoreCalls storeCalls() const { return m_storeCalls; }
    std::size_t links() const;

private:
    using Installer = decisions::distribution::ConfigurationInstaller;
    using Body = decisions::distribution::ConfigurationBody;

    struct Process
    {
        core::VmId vm;
        bool isEntry = false;
        Installer installer;
        std::vector<std::size_t> peers;
        std::int64_t phase = 0;
        core::TimePoint installedAt;
        std::uint64_t bodiesSent = 0;
    };

    struct VersionMessage
    {
        core::ConfigurationVersion version;
    };

    struct FetchMessage
    {
        core::ConfigurationVersion known;
    };

    struct StoreAnswer
    { };

    struct WatchAnswer
    {
        decisions::distribution::StoreCallNumber call;
    };

    struct Message
    {
        std::size_t from = 0;
        std::size_t to = 0;
        std::variant<VersionMessage, FetchMessage, Body, StoreAnswer, WatchAnswer> content;
    };

    struct Watch
    {
        decisions::distribution::StoreCallNumber call;
        core::TimePoint end;
    };

    void link(std::size_t left, std::size_t right);
    void linkEntries(std::size_t dataCentres);
    void linkSides(std::size_t dataCentres);
    void step();
    void deliver(const Message &message);
    void answerWatches();
    void execute(std::size_t process, const decisions::distribution::InstallerActions &actions);
    void scheduleMessage(core::Duration delay, Message message);

    core::RandomSequence m_random;
    core::TimePoint m_now = core::TimePoint(std::chrono::hours(1));
    std::vector<Process> m_processes;
    std::size_t m_entryCount = 0;
    std::multimap<core::TimePoint, Message> m_messages;
    std::map<std::size_t, Watch> m_watches;
    std::map<core::VmId, std::size_t> m_indexes;
    bool m_isStoreUp = true;
    Body m_stored;
    std::uint64_t m_revision = 0;
    StoreCalls m_storeCalls;
};

} // namespace lycheelanding::bench

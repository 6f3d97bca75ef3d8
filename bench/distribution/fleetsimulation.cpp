#include "fleetsimulation.h"

#include "lycheelanding/core/stablehash.h"
#include "lycheelanding/decisions/distribution/watcherelection.h"
#include "lycheelanding/decisions/membership/entrysubset.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lycheelanding::bench {

namespace {

using namespace decisions::distribution;
using decisions::membership::SubsetMember;

constexpr core::Duration stepLength = std::chrono::milliseconds(5);
constexpr std::int64_t stepsPerTick = 10;
constexpr std::int64_t stepsPerHeartbeat = 100;
constexpr core::Duration messageDelay = std::chrono::milliseconds(1);
/// Transfer time of a configuration body of 300 KB at 10 MB/s.
constexpr core::Duration bodyDelay = std::chrono::milliseconds(30);
constexpr core::Duration storeDelay = std::chrono::milliseconds(5);
constexpr core::Duration watchTimeout = std::chrono::seconds(30);

/// Numbers of links from an entry to other entries, as in the daemon.
constexpr std::size_t peersInLocalDataCentre = 3;
constexpr std::size_t peersInOtherDataCentres = 2;

core::DataCentreId dataCentreOf(std::size_t index, std::size_t dataCentres)
{
    return core::DataCentreId("dc" + std::to_string(index % dataCentres));
}

std::vector<SubsetMember> membersOf(std::size_t count, const std::string &prefix, std::size_t dataCentres)
{
    std::vector<SubsetMember> members(count);
    for (std::size_t index = 0; index < count; ++index) {
        members[index] = {prefix + std::to_string(index), dataCentreOf(index, dataCentres)};
    }
    return members;
}

} // namespace

FleetSimulation::FleetSimulation(const FleetPlan &plan) : m_random(plan.seed), m_entryCount(plan.entries)
{
    m_processes.reserve(plan.entries + plan.sides);
    for (std::size_t index = 0; index < plan.entries + plan.sides; ++index) {
        const bool isEntry = index < plan.entries;
        const auto name = isEntry ? "e" + std::to_string(index) : "s" + std::to_string(index - plan.entries);
        ConfigurationInstallerSettings settings;
        settings.seed = m_random.next();
        const auto phase = static_cast<std::int64_t>(m_random.nextBelow(stepsPerHeartbeat));
        m_processes.push_back({core::VmId(name), isEntry, Installer(settings), {}, phase, {}, 0});
        m_indexes.emplace(core::VmId(name), index);
    }
    linkEntries(plan.dataCentres);
    linkSides(plan.dataCentres);
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        execute(index, m_processes[index].installer.start({}, m_now));
    }
    for (std::size_t dataCentre = 0; dataCentre < plan.dataCentres; ++dataCentre) {
        std::vector<core::VmId> members;
        for (std::size_t index = dataCentre; index < plan.entries; index += plan.dataCentres) {
            members.push_back(m_processes[index].vm);
        }
        for (std::size_t index = dataCentre; index < plan.entries; index += plan.dataCentres) {
            auto &installer = m_processes[index].installer;
            execute(index, installer.setWatching(isWatcher(m_processes[index].vm, members), m_now));
        }
    }
}

void FleetSimulation::linkEntries(std::size_t dataCentres)
{
    for (std::size_t self = 0; self < m_entryCount; ++self) {
        std::vector<std::size_t> others;
        for (std::size_t other = 0; other < m_entryCount; ++other) {
            if (other != self) {
                others.push_back(other);
            }
        }
        const auto score = [&](std::size_t other) {
            return core::rendezvousScore(m_processes[self].vm.text(), m_processes[other].vm.text());
        };
        std::sort(others.begin(), others.end(), [&](auto left, auto right) { return score(left) > score(right); });
        std::size_t localLinksLeft = peersInLocalDataCentre;
        std::size_t remoteLinksLeft = peersInOtherDataCentres;
        for (const auto other : others) {
            auto &linksLeft = other % dataCentres == self % dataCentres ? localLinksLeft : remoteLinksLeft;
            if (linksLeft > 0) {
                --linksLeft;
                link(self, other);
            }
        }
    }
}

void FleetSimulation::linkSides(std::size_t dataCentres)
{
    const auto entries = membersOf(m_entryCount, "e", dataCentres);
    const auto sides = membersOf(m_processes.size() - m_entryCount, "s", dataCentres);
    for (std::size_t entry = 0; entry < m_entryCount; ++entry) {
        for (const auto side : decisions::membership::entrySubset(entries[entry], entries, sides, {})) {
            link(entry, m_entryCount + side);
        }
    }
}

void FleetSimulation::link(std::size_t left, std::size_t right)
{
    auto &peers = m_processes[left].peers;
    if (std::find(peers.begin(), peers.end(), right) == peers.end()) {
        peers.push_back(right);
        m_processes[right].peers.push_back(left);
    }
}

void FleetSimulation::run(core::Duration time)
{
    const auto end = m_now + time;
    while (m_now < end) {
        step();
    }
}

void FleetSimulation::accept(core::ConfigurationVersion version)
{
    m_stored = {version, "document " + std::to_string(version.number())};
    ++m_revision;
    const auto entry = static_cast<std::size_t>(m_random.nextBelow(m_entryCount));
    execute(entry, m_processes[entry].installer.versionLearned(m_stored, m_now));
}

void FleetSimulation::step()
{
    m_now += stepLength;
    const auto number = m_now.time_since_epoch() / stepLength;
    answerWatches();
    while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
        const auto message = std::move(m_messages.extract(m_messages.begin()).mapped());
        deliver(message);
    }
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        auto &process = m_processes[index];
        if ((number + process.phase) % stepsPerTick == 0) {
            execute(index, process.installer.tick(m_now));
        }
        if ((number + process.phase) % stepsPerHeartbeat == 0) {
            for (const auto peer : process.peers) {
                scheduleMessage(messageDelay, {index, peer, VersionMessage{process.installer.version()}});
            }
        }
    }
}

void FleetSimulation::deliver(const Message &message)
{
    auto &installer = m_processes[message.to].installer;
    const auto &from = m_processes[message.from].vm;
    const auto state = !m_isStoreUp || !m_processes[message.to].isEntry ? StoreReadState::Unavailable
        : m_revision > 0                                                ? StoreReadState::Found
                                                                        : StoreReadState::Missing;
    if (const auto *version = std::get_if<VersionMessage>(&message.content)) {
        execute(message.to, installer.peerVersionSeen(from, version->version, m_now));
    } else if (const auto *fetch = std::get_if<FetchMessage>(&message.content)) {
        execute(message.to, installer.fetchRequested(from, fetch->known, m_now));
    } else if (const auto *body = std::get_if<Body>(&message.content)) {
        execute(message.to, installer.bodyReceived(from, *body, m_now));
    } else if (const auto *watch = std::get_if<WatchAnswer>(&message.content)) {
        execute(message.to, installer.watchAnswered(watch->call, state, m_stored, m_revision, m_now));
    } else {
        execute(message.to, installer.storeAnswered(state, m_stored, m_now));
    }
}

void FleetSimulation::answerWatches()
{
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        const auto process = watch->first;
        const bool hasNewerVersion = m_processes[process].installer.version() < m_stored.version;
        if (m_isStoreUp && !hasNewerVersion && m_now < watch->second.end) {
            ++watch;
            continue;
        }
        scheduleMessage(storeDelay, {process, process, WatchAnswer{watch->second.call}});
        watch = m_watches.erase(watch);
    }
}

void FleetSimulation::execute(std::size_t process, const InstallerActions &actions)
{
    for (const auto &action : actions) {
        if (const auto *fetch = std::get_if<FetchFromPeer>(&action)) {
            scheduleMessage(messageDelay, {process, m_indexes.at(fetch->peer), FetchMessage{fetch->known}});
        } else if (const auto *send = std::get_if<SendBody>(&action)) {
            ++m_processes[process].bodiesSent;
            scheduleMessage(bodyDelay, {process, m_indexes.at(send->peer), m_processes[process].installer.installed()});
        } else if (std::holds_alternative<InstallVersion>(action)) {
            m_processes[process].installedAt = m_now;
        } else if (const auto *watch = std::get_if<WatchStore>(&action)) {
            ++m_storeCalls.watches;
            m_watches[process] = {watch->call, m_now + watchTimeout};
        } else {
            m_storeCalls.reads += m_processes[process].isEntry ? 1 : 0;
            scheduleMessage(storeDelay, {process, process, StoreAnswer{}});
        }
    }
}

void FleetSimulation::scheduleMessage(core::Duration delay, Message message)
{
    m_messages.emplace(m_now + delay, std::move(message));
}

std::vector<core::Duration> FleetSimulation::installationTimes(core::TimePoint since) const
{
    std::vector<core::Duration> times;
    for (const auto &process : m_processes) {
        times.push_back(process.installedAt - since);
    }
    std::sort(times.begin(), times.end());
    return times;
}

std::size_t FleetSimulation::processesWithVersion(core::ConfigurationVersion version) const
{
    return static_cast<std::size_t>(std::count_if(m_processes.begin(), m_processes.end(), [&](const Process &process) {
        return process.installer.version() == version;
    }));
}

std::size_t FleetSimulation::staleProcesses() const
{
    return static_cast<std::size_t>(std::count_if(m_processes.begin(), m_processes.end(), [&](const Process &process) {
        return process.installer.isStale(m_now);
    }));
}

std::uint64_t FleetSimulation::bodiesSent() const
{
    std::uint64_t sum = 0;
    for (const auto &process : m_processes) {
        sum += process.bodiesSent;
    }
    return sum;
}

std::uint64_t FleetSimulation::maxBodiesByOneProcess() const
{
    std::uint64_t maxBodies = 0;
    for (const auto &process : m_processes) {
        maxBodies = std::max(maxBodies, process.bodiesSent);
    }
    return maxBodies;
}

std::size_t FleetSimulation::links() const
{
    std::size_t ends = 0;
    for (const auto &process : m_processes) {
        ends += process.peers.size();
    }
    return ends / 2;
}

} // namespace lycheelanding::bench

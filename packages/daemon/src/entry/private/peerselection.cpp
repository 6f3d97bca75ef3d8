#include "entry/private/peerselection.h"

#include "lycheelanding/core/stablehash.h"
#include "lycheelanding/decisions/distribution/watcherelection.h"
#include "lycheelanding/decisions/membership/entrysubset.h"
#include "lycheelanding/wire/peerconnection.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>

namespace lycheelanding::daemon::entry {

namespace {

constexpr std::size_t peersInLocalDataCentre = 3;
constexpr std::size_t peersInOtherDataCentres = 2;

/// Up to this number of backend servers every entry connects to all of them.
constexpr std::size_t maxFullMeshBackends = 40;
/// Target number of backend servers to which an entry of a larger fleet connects, over all models and services.
constexpr std::size_t targetBackends = 20;
constexpr std::size_t minBackendsPerWorkload = 3;
constexpr std::size_t minEntriesPerBackend = 3;

using decisions::membership::SubsetMember;

/// Listed backend servers by their workload, that is the model or service that they serve. Those without a workload are
/// grouped under an empty name.
std::map<std::string, std::vector<services::VmRow>> rowsByWorkload(const std::vector<services::VmRow> &rows,
                                                                   const configuration::Document &document)
{
    std::map<core::VmId, std::string> workloads;
    for (const auto &group : document.groups) {
        for (const auto &rankLocation : group.ranks) {
            workloads[rankLocation.vm] = "model " + group.model.text();
        }
    }
    for (const auto &service : document.services) {
        for (const auto &vm : service.vms) {
            workloads[vm] = "service " + service.id.text();
        }
    }
    std::map<std::string, std::vector<services::VmRow>> byWorkload;
    for (const auto &row : rows) {
        byWorkload[workloads[row.vm]].push_back(row);
    }
    return byWorkload;
}

decisions::membership::SubsetSettings subsetSettings(std::size_t workloadCount)
{
    decisions::membership::SubsetSettings settings;
    settings.targetSize = std::max(minBackendsPerWorkload, targetBackends / workloadCount);
    settings.maxSize = 2 * settings.targetSize;
    settings.minEntriesPerBackend = minEntriesPerBackend;
    return settings;
}

void addTarget(const services::VmRow &row, std::vector<shared::PeerTarget> &targets)
{
    const auto endpoint = wire::endpointFrom(row.address);
    if (core::isOk(endpoint)) {
        targets.push_back({row.vm, core::valueOf(endpoint)});
    }
}

/// Adds the `count` candidates with the highest rendezvous hash scores for `localVm`.
void addTopScored(std::vector<services::VmRow> candidates, const core::VmId &localVm, std::size_t count,
                  std::vector<shared::PeerTarget> &targets)
{
    std::sort(candidates.begin(), candidates.end(), [&localVm](const auto &left, const auto &right) {
        return core::rendezvousScore(localVm.text(), left.vm.text())
            > core::rendezvousScore(localVm.text(), right.vm.text());
    });
    candidates.resize(std::min(candidates.size(), count));
    for (const auto &row : candidates) {
        addTarget(row, targets);
    }
}

} // namespace

std::vector<shared::PeerTarget> sideTargets(const std::vector<services::VmRow> &rows,
                                            const configuration::Document &document, const core::VmId &localVm,
                                            const core::DataCentreId &localDataCentre)
{
    std::vector<services::VmRow> backends;
    std::vector<SubsetMember> entries;
    for (const auto &row : rows) {
        if (row.role == services::VmRole::Backend) {
            backends.push_back(row);
        } else {
            entries.push_back({row.vm.text(), row.dataCentre});
        }
    }
    std::vector<shared::PeerTarget> targets;
    if (backends.size() <= maxFullMeshBackends) {
        for (const auto &row : backends) {
            addTarget(row, targets);
        }
        return targets;
    }
    const auto byWorkload = rowsByWorkload(backends, document);
    const decisions::membership::SubsetSettings settings = subsetSettings(byWorkload.size());
    for (const auto &[workload, workloadRows] : byWorkload) {
        std::vector<SubsetMember> members;
        for (const auto &row : workloadRows) {
            members.push_back({row.vm.text(), row.dataCentre});
        }
        const SubsetMember localEntry{localVm.text(), localDataCentre};
        for (const auto index : decisions::membership::entrySubset(localEntry, entries, members, settings)) {
            addTarget(workloadRows[index], targets);
        }
    }
    return targets;
}

std::vector<shared::PeerTarget> entryTargets(const std::vector<services::VmRow> &rows, const core::VmId &localVm,
                                             const core::DataCentreId &localDataCentre)
{
    std::vector<services::VmRow> local;
    std::vector<services::VmRow> remote;
    for (const auto &row : rows) {
        if (row.role != services::VmRole::Entry || row.vm == localVm) {
            continue;
        }
        (row.dataCentre == localDataCentre ? local : remote).push_back(row);
    }
    std::vector<shared::PeerTarget> targets;
    addTopScored(std::move(local), localVm, peersInLocalDataCentre, targets);
    addTopScored(std::move(remote), localVm, peersInOtherDataCentres, targets);
    return targets;
}

std::vector<core::VmId> liveEntries(const std::vector<services::VmRow> &rows, const core::VmId &localVm)
{
    std::vector<core::VmId> entries{localVm};
    for (const auto &row : rows) {
        if (row.role == services::VmRole::Entry && row.state == services::VmState::Live && row.vm != localVm) {
            entries.push_back(row.vm);
        }
    }
    return entries;
}

bool isStoreWatcher(const std::vector<services::VmRow> &rows, const core::VmId &localVm,
                    const core::DataCentreId &localDataCentre)
{
    std::vector<core::VmId> members;
    for (const auto &row : rows) {
        if (row.role == services::VmRole::Entry && row.dataCentre == localDataCentre) {
            members.push_back(row.vm);
        }
    }
    return decisions::distribution::isWatcher(localVm, members);
}

} // namespace lycheelanding::daemon::entry

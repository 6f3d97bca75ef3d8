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

constexpr std::size_t peersInOwnDataCentre = 3;
constexpr std::size_t peersInOtherDataCentres = 2;

/// Backend servers up to which every entry connects to all of them.
constexpr std::size_t largestFullMesh = 40;
/// Backend servers that an entry of a large fleet should know, over all models and services.
constexpr std::size_t wantedBackends = 20;
constexpr std::size_t fewestPerOffer = 3;
constexpr std::size_t fewestEntriesPerBackend = 3;

using decisions::membership::SubsetMember;

/// Listed backend servers by the model or service that they offer; those that offer none stand together.
std::map<std::string, std::vector<services::VmRow>> rowsByOffer(const std::vector<services::VmRow> &rows,
                                                                const configuration::Document &document)
{
    std::map<core::VmId, std::string> offers;
    for (const auto &group : document.groups) {
        for (const auto &place : group.ranks) {
            offers[place.vm] = "model " + group.model.text();
        }
    }
    for (const auto &service : document.services) {
        for (const auto &vm : service.vms) {
            offers[vm] = "service " + service.id.text();
        }
    }
    std::map<std::string, std::vector<services::VmRow>> byOffer;
    for (const auto &row : rows) {
        byOffer[offers[row.vm]].push_back(row);
    }
    return byOffer;
}

decisions::membership::SubsetSettings subsetSettings(std::size_t offers)
{
    decisions::membership::SubsetSettings settings;
    settings.targetSize = std::max(fewestPerOffer, wantedBackends / offers);
    settings.maxSize = 2 * settings.targetSize;
    settings.minEntriesPerBackend = fewestEntriesPerBackend;
    return settings;
}

void addTarget(const services::VmRow &row, std::vector<shared::PeerTarget> &targets)
{
    const auto endpoint = wire::endpointFrom(row.address);
    if (core::isOk(endpoint)) {
        targets.push_back({row.vm, core::valueOf(endpoint)});
    }
}

void addPreferred(std::vector<services::VmRow> candidates, const core::VmId &self, std::size_t count,
                  std::vector<shared::PeerTarget> &targets)
{
    std::sort(candidates.begin(), candidates.end(), [&self](const auto &left, const auto &right) {
        return core::rendezvousScore(self.text(), left.vm.text()) > core::rendezvousScore(self.text(), right.vm.text());
    });
    candidates.resize(std::min(candidates.size(), count));
    for (const auto &row : candidates) {
        addTarget(row, targets);
    }
}

} // namespace

std::vector<shared::PeerTarget> sideTargets(const std::vector<services::VmRow> &rows,
                                            const configuration::Document &document, const core::VmId &self,
                                            const core::DataCentreId &ownDataCentre)
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
    if (backends.size() <= largestFullMesh) {
        for (const auto &row : backends) {
            addTarget(row, targets);
        }
        return targets;
    }
    const auto byOffer = rowsByOffer(backends, document);
    const decisions::membership::SubsetSettings settings = subsetSettings(byOffer.size());
    for (const auto &[offer, offering] : byOffer) {
        std::vector<SubsetMember> members;
        for (const auto &row : offering) {
            members.push_back({row.vm.text(), row.dataCentre});
        }
        const SubsetMember own{self.text(), ownDataCentre};
        for (const auto index : decisions::membership::entrySubset(own, entries, members, settings)) {
            addTarget(offering[index], targets);
        }
    }
    return targets;
}

std::vector<shared::PeerTarget> entryTargets(const std::vector<services::VmRow> &rows, const core::VmId &self,
                                             const core::DataCentreId &ownDataCentre)
{
    std::vector<services::VmRow> near;
    std::vector<services::VmRow> far;
    for (const auto &row : rows) {
        if (row.role != services::VmRole::Entry || row.vm == self) {
            continue;
        }
        (row.dataCentre == ownDataCentre ? near : far).push_back(row);
    }
    std::vector<shared::PeerTarget> targets;
    addPreferred(std::move(near), self, peersInOwnDataCentre, targets);
    addPreferred(std::move(far), self, peersInOtherDataCentres, targets);
    return targets;
}

std::vector<core::VmId> liveEntries(const std::vector<services::VmRow> &rows, const core::VmId &self)
{
    std::vector<core::VmId> entries{self};
    for (const auto &row : rows) {
        if (row.role == services::VmRole::Entry && row.state == services::VmState::Live && row.vm != self) {
            entries.push_back(row.vm);
        }
    }
    return entries;
}

bool isStoreWatcher(const std::vector<services::VmRow> &rows, const core::VmId &self,
                    const core::DataCentreId &ownDataCentre)
{
    std::vector<core::VmId> members;
    for (const auto &row : rows) {
        if (row.role == services::VmRole::Entry && row.dataCentre == ownDataCentre) {
            members.push_back(row.vm);
        }
    }
    return decisions::distribution::isWatcher(self, members);
}

} // namespace lycheelanding::daemon::entry

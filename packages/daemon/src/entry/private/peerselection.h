#pragma once

#include "lycheelanding/configuration/configurationdocument.h"
#include "lycheelanding/services/vmlist.h"
#include "shared/peerlinks.h"

#include <vector>

namespace lycheelanding::daemon::entry {

/// The sides that an entry connects to, leaving ones too, since their answers may still run.
///
/// A small fleet is known to every entry. Of a large one an entry knows some backend servers of each model and service,
/// chosen by rendezvous hashing with its own data centre first, so that connections and heartbeats do not grow with
/// the fleet.
std::vector<shared::PeerTarget> sideTargets(const std::vector<services::VmRow> &rows,
                                            const configuration::Document &document, const core::VmId &self,
                                            const core::DataCentreId &ownDataCentre);

/// The other entries that this one connects to: a few by rendezvous hashing, its own data centre first, so that
/// versions spread without a full mesh.
std::vector<shared::PeerTarget> entryTargets(const std::vector<services::VmRow> &rows, const core::VmId &self,
                                             const core::DataCentreId &ownDataCentre);

/// The entries that are listed as live, this one included.
std::vector<core::VmId> liveEntries(const std::vector<services::VmRow> &rows, const core::VmId &self);

/// Whether this entry is one of the few of its data centre that watch the key-value service.
bool isStoreWatcher(const std::vector<services::VmRow> &rows, const core::VmId &self,
                    const core::DataCentreId &ownDataCentre);

} // namespace lycheelanding::daemon::entry

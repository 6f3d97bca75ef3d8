#pragma once

#include "lycheelanding/configuration/configurationdocument.h"
#include "lycheelanding/services/vmlist.h"
#include "shared/peerlinks.h"

#include <vector>

namespace lycheelanding::daemon::entry {

/// The sides that an entry connects to. Includes sides that are leaving, since answers of theirs may still be in
/// progress.
///
/// In a small fleet every entry connects to all sides. In a large one an entry connects to some backend servers of each
/// model and service, chosen by rendezvous hashing with those of its own data centre first, so that the connections and
/// heartbeats of an entry do not grow with the fleet.
std::vector<shared::PeerTarget> sideTargets(const std::vector<services::VmRow> &rows,
                                            const configuration::Document &document, const core::VmId &localVm,
                                            const core::DataCentreId &localDataCentre);

/// The other entries that this one connects to: a few of its own data centre and a few of the others, chosen by
/// rendezvous hashing, so that configuration versions spread without a full mesh.
std::vector<shared::PeerTarget> entryTargets(const std::vector<services::VmRow> &rows, const core::VmId &localVm,
                                             const core::DataCentreId &localDataCentre);

/// The entries that are listed as live, including this one.
std::vector<core::VmId> liveEntries(const std::vector<services::VmRow> &rows, const core::VmId &localVm);

/// Whether this entry is one of the few of its data centre that watch the key-value service.
bool isStoreWatcher(const std::vector<services::VmRow> &rows, const core::VmId &localVm,
                    const core::DataCentreId &localDataCentre);

} // namespace lycheelanding::daemon::entry

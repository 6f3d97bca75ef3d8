#pragma once

#include "entry/admissionservice.h"
#include "entry/backendtable.h"
#include "entry/claimservice.h"
#include "entry/entrygate.h"
#include "entry/instrumentedstore.h"
#include "entry/requestmetrics.h"
#include "entry/requesttable.h"
#include "entry/runningrequests.h"
#include "entry/sharedretrypolicy.h"

#include "shared/configurationtable.h"
#include "shared/peerlinks.h"

#include <asio/io_context.hpp>

namespace lycheelanding::daemon::entry {

/// The components of the entry that requests share. Each has its own lock, and none calls another while it holds its
/// lock, apart from the observers of ConfigurationTable.
struct EntryServices
{
    asio::io_context &context;
    const shared::ConfigurationTable &configuration;
    AdmissionService &admission;
    BackendTable &backends;
    shared::PeerLinks &links;
    RequestTable &requests;
    RunningRequests &running;
    ClaimService<InstrumentedStore> &claims;
    SharedRetryPolicy &retries;
    RequestMetrics &requestMetrics;
    EntryGate &gate;
    std::size_t maxUnsentBytes;
};

} // namespace lycheelanding::daemon::entry

#pragma once

#include "lycheelanding/core/ids.h"

#include <cstdint>
#include <vector>

/// Selection of a backend server and a rank for each request.
namespace lycheelanding::decisions::routing {

using ModelVersion = core::TextId<struct ModelVersionTag>;
using AdapterId = core::TextId<struct AdapterTag>;

/// One backend server that may receive requests, according to configuration and membership.
struct BackendCandidate
{
    core::VmId vm;
    core::DataCentreId dataCentre;
    core::ServiceId service;
    /// Empty for a plain service.
    core::ModelId model;
    std::vector<ModelVersion> versions;
    std::vector<AdapterId> adapters;
    core::GroupId group;
    /// Ranks of the backend server; empty if the service has no ranks.
    std::vector<core::RankIndex> ranks;
    /// Whether it is chosen by its response times and its number of own requests. Only for plain services.
    bool hasAdaptiveCapacity = false;
    /// Differs between the incarnations of a backend server.
    std::uint64_t incarnation = 0;
    /// Its data centre is evacuated: it gets no requests, and counts as absent for all others.
    bool isEvacuated = false;
};

} // namespace lycheelanding::decisions::routing

#pragma once

#include "lycheelanding/decisions/routing/backendcandidate.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace lycheelanding::decisions::routing {

/// The part of a prompt that other requests share and an engine may hold in its prefix cache.
struct PromptPrefix
{
    std::uint64_t hash = 0;
    std::uint64_t tokens = 0;
};

struct RouteRequest
{
    core::ServiceId service;
    /// Empty for a plain service.
    core::ModelId model;
    std::optional<ModelVersion> version = std::nullopt;
    std::optional<AdapterId> adapter = std::nullopt;
    core::OrganisationId organisation;
    std::optional<PromptPrefix> prefix = std::nullopt;
    /// Prompt and answer tokens that the request is expected to need; any unit of work for a plain service.
    std::uint64_t expectedTokens = 1;
    core::DataCentreId localDataCentre;
    /// Only idempotent requests serve as probes.
    bool idempotent = true;
    /// Backend servers not to be chosen: tried before, or at their concurrency limit.
    std::vector<core::VmId> excluded = {};
};

struct Choice
{
    core::VmId vm;
    core::RankIndex rank;
    /// True when the request tests a backend server that was set aside.
    bool probe = false;
    /// Prompt tokens that the rank's prefix cache is likely to save.
    std::uint64_t savedTokens = 0;

    bool operator==(const Choice &) const = default;
};

/// One try of one request at one backend server; unique within the process.
using AttemptId = core::NumberId<struct RoutedAttemptTag>;

enum class Outcome : std::uint8_t {
    Answered,
    /// The side refused the request before it ran, because its backend server has too much to do.
    Refused,
    /// The side refused the request before it ran, because its VM is leaving.
    Leaving,
    Failed,
    TimedOut,
    /// Ended by the caller or the entry; says nothing about the backend server.
    Cancelled,
};

} // namespace lycheelanding::decisions::routing

#pragma once

#include "lycheelanding/decisions/routing/backendcandidate.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace lycheelanding::decisions::routing {

/// The beginning of a prompt that other requests share and that an engine may have in its prefix cache.
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
    /// Expected prompt and answer tokens; any unit of work for a plain service.
    std::uint64_t expectedTokens = 1;
    core::DataCentreId localDataCentre;
    /// Only idempotent requests serve as probes.
    bool isIdempotent = true;
    /// Backend servers that must not be chosen: already tried, or at their concurrency limit.
    std::vector<core::VmId> excluded = {};
    /// Backend servers that need longer for a request than their load says.
    std::vector<core::VmId> slow = {};
    /// These are chosen only if no other one is available.
    bool hasLittleTime = false;
};

struct Choice
{
    core::VmId vm;
    core::RankIndex rank;
    /// True if the request tests an ejected backend server.
    bool isProbe = false;
    /// Prompt tokens that the rank's prefix cache is likely to save.
    std::uint64_t savedTokens = 0;

    bool operator==(const Choice &) const = default;
};

/// Identifies one attempt of one request at one backend server; unique within the process.
using AttemptId = core::NumberId<struct RoutedAttemptTag>;

enum class Outcome : std::uint8_t {
    Answered,
    /// The side refused the request before it ran, because its backend server is overloaded.
    Refused,
    /// The side refused the request before it ran, because its VM is leaving.
    Leaving,
    Failed,
    TimedOut,
    /// Cancelled by the caller or the entry; says nothing about the backend server.
    Cancelled,
};

} // namespace lycheelanding::decisions::routing

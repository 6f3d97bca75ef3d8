#pragma once

#include "lycheelanding/core/ids.h"
#include "lycheelanding/core/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The operators' configuration: its typed document, JSON schema, patches and stored record.
namespace lycheelanding::configuration {

struct Organisation
{
    core::OrganisationId id;
    /// Share of the capacity relative to the other organisations.
    double weight = 1.0;
    /// Maximum number of requests that run or are queued, over all entries.
    std::uint32_t maxInFlight = 256;
};

struct Model
{
    core::ModelId id;
    std::string version;
};

/// The VM on which one rank runs.
struct RankLocation
{
    core::RankIndex rank;
    core::VmId vm;
};

/// Ranks that run one model version in lock-step.
struct Group
{
    core::GroupId id;
    core::ModelId model;
    std::string modelVersion;
    std::uint32_t expertLayers = 1;
    /// Experts per layer.
    std::uint32_t experts = 1;
    /// Expert replicas that one rank holds per layer.
    std::uint32_t slotsPerRank = 1;
    /// One item for each rank, numbered from 0 without gaps; a VM may run several ranks.
    std::vector<RankLocation> ranks;
};

/// Calls that run at most once.
struct NonIdempotentRoute
{
    std::string method;
    std::string pathPrefix;
};

/// A plain service, routed to by path prefix.
struct Service
{
    core::ServiceId id;
    std::string pathPrefix;
    std::vector<core::VmId> vms;
    std::vector<NonIdempotentRoute> nonIdempotentRoutes;
};

struct BackendServer
{
    core::VmId vm;
    /// Whether the engine refuses commands that carry an outdated fencing token.
    bool honoursFencing = false;
};

struct Limits
{
    std::uint64_t maxBodyBytes = 1'048'576;
    std::uint32_t defaultRequestTimeoutMs = 30'000;
    std::uint32_t maxRequestTimeoutMs = 600'000;
    /// Timeout of a drain: how long a stopping process waits for running requests.
    std::uint32_t drainLimitMs = 30'000;
    /// Maximum number of requests of one organisation that are queued at one entry.
    std::uint32_t queuePerOrganisation = 256;
    /// Initial and maximum number of concurrent requests at one backend server.
    std::uint32_t initialConcurrency = 16;
    std::uint32_t maxConcurrency = 256;
};

struct Retries
{
    /// Retries allowed per request sent.
    double budgetRatio = 0.1;
    /// Includes the first attempt.
    std::uint32_t maxAttempts = 3;
    /// Upper bound of the random delay before the first retry; the lower bound is a fifth of it. Both double with each
    /// further retry.
    std::uint32_t baseDelayMs = 25;
};

struct Idempotency
{
    /// Time for which repeated idempotency keys are recognised.
    std::uint32_t retentionSeconds = 3600;
    /// Values in the key-value service that the keys are distributed over; fixed once a version has been accepted.
    std::uint32_t partitions = 256;
};

struct Experts
{
    /// Name of the planner's preset of weights, "bvp" or "jackhead".
    std::string weights = "bvp";
    /// Factors on the preset's weights of step-time skew and of movement cost.
    double skewWeight = 1.0;
    double movementWeight = 1.0;
    /// Rate at which the weight store serves one group; the preset uses a fraction of it.
    std::uint64_t weightStoreBytesPerSecond = 1'000'000'000;
    std::uint32_t planIntervalMs = 10'000;
    /// Size of the weights of one expert of one layer.
    std::uint64_t expertBytes = 50'000'000;
};

struct Membership
{
    std::uint32_t heartbeatIntervalMs = 500;
    /// Time without a heartbeat after which an entry stops routing to a side; at least two intervals.
    std::uint32_t heartbeatTimeoutMs = 2'000;
};

/// Service-level objective of a service or a model, for each organisation or for one of them.
struct Objective
{
    /// Exactly one of `service` and `model` is set.
    std::optional<core::ServiceId> service;
    std::optional<core::ModelId> model;
    /// Unset means each organisation.
    std::optional<core::OrganisationId> organisation;
    /// Fraction of the requests that must succeed.
    double availability = 0.999;
    /// The fraction `firstTokenTarget` of the answers must begin within `firstTokenMs`.
    std::uint32_t firstTokenMs = 2'000;
    double firstTokenTarget = 0.99;
    /// The fraction `betweenTokensTarget` of the tokens must follow the previous token within `betweenTokensMs`.
    std::uint32_t betweenTokensMs = 200;
    double betweenTokensTarget = 0.99;
};

struct Document
{
    std::vector<Organisation> organisations;
    std::vector<Model> models;
    std::vector<Group> groups;
    std::vector<Service> services;
    std::vector<BackendServer> backendServers;
    Limits limits;
    Retries retries;
    Idempotency idempotency;
    Experts experts;
    Membership membership;
    std::vector<Objective> objectives;
};

/// The document of version 0, to which the first patch applies.
std::string_view emptyDocumentText();

/// Fails with InvalidPatch and "<JSON pointer>: <reason>" at the first syntactic, schema or semantic error.
core::Result<Document> parseDocument(std::string_view text);

/// The item with this id, or null.
const Organisation *findOrganisation(const Document &document, const core::OrganisationId &id);
const Model *findModel(const Document &document, const core::ModelId &id, std::string_view version);
const Group *findGroup(const Document &document, const core::GroupId &id);
const Service *findService(const Document &document, const core::ServiceId &id);
/// The service whose path prefix is the longest match for `path`, or null.
const Service *serviceOfPath(const Document &document, std::string_view path);
/// Whether a non-idempotent route of `service` matches the call, which must then run at most once.
bool isNonIdempotent(const Service &service, std::string_view method, std::string_view path);
/// False for VMs that the document does not list.
bool honoursFencing(const Document &document, const core::VmId &vm);

} // namespace lycheelanding::configuration

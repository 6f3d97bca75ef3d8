#pragma once

#include "lycheelanding/configuration/configurationdocument.h"

#include <nlohmann/json.hpp>

#include <optional>

// Conversion between the typed document and JSON. Keys that are absent get the defaults of the structs.

template <typename Tag>
struct nlohmann::adl_serializer<lycheelanding::core::TextId<Tag>>
{
    static void to_json(json &value, const lycheelanding::core::TextId<Tag> &id) { value = id.text(); }

    static void from_json(const json &value, lycheelanding::core::TextId<Tag> &id)
    {
        id = lycheelanding::core::TextId<Tag>(value.get<std::string>());
    }
};

template <typename Tag>
struct nlohmann::adl_serializer<lycheelanding::core::NumberId<Tag>>
{
    static void to_json(json &value, const lycheelanding::core::NumberId<Tag> &id) { value = id.number(); }

    static void from_json(const json &value, lycheelanding::core::NumberId<Tag> &id)
    {
        id = lycheelanding::core::NumberId<Tag>(value.get<std::uint64_t>());
    }
};

template <typename Type>
struct nlohmann::adl_serializer<std::optional<Type>>
{
    static void to_json(json &value, const std::optional<Type> &content)
    {
        value = content ? json(*content) : json(nullptr);
    }

    static void from_json(const json &value, std::optional<Type> &content)
    {
        content = value.is_null() ? std::nullopt : std::optional<Type>(value.get<Type>());
    }
};

namespace lycheelanding::configuration {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Organisation, id, weight, maxInFlight)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Model, id, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RankLocation, rank, vm)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Group, id, model, modelVersion, expertLayers, experts, slotsPerRank,
                                                ranks)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(NonIdempotentRoute, method, pathPrefix)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Service, id, pathPrefix, vms, nonIdempotentRoutes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(BackendServer, vm, honoursFencing)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Limits, maxBodyBytes, defaultRequestTimeoutMs, maxRequestTimeoutMs,
                                                drainLimitMs, queuePerOrganisation, initialConcurrency, maxConcurrency)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Retries, budgetRatio, maxAttempts, baseDelayMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Idempotency, retentionSeconds, partitions)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Experts, weights, skewWeight, movementWeight, weightStoreBytesPerSecond,
                                                planIntervalMs, expertBytes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Membership, heartbeatIntervalMs, heartbeatTimeoutMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Objective, service, model, organisation, availability, firstTokenMs,
                                                firstTokenTarget, betweenTokensMs, betweenTokensTarget)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Document, organisations, models, groups, services, backendServers,
                                                limits, retries, idempotency, experts, membership, objectives)

} // namespace lycheelanding::configuration

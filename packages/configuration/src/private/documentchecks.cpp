#include "private/documentchecks.h"

#include "private/jsontext.h"

#include <fmt/format.h>

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <unordered_set>

namespace lycheelanding::configuration {

namespace {

using OptionalError = std::optional<core::Error>;

constexpr std::array<std::string_view, 8> reservedPathPrefixes{"/v1/",   "/configuration", "/burn",   "/status",
                                                               "/drain", "/metrics",       "/health", "/ready"};

OptionalError errorAt(std::string_view pointer, std::string_view reason)
{
    return errorAtPointer(core::ErrorKind::InvalidPatch, pointer, reason);
}

/// Fails at the first item whose key occurs earlier in the list.
template <typename Entry, typename KeyOf>
OptionalError checkUnique(const std::vector<Entry> &entries, std::string_view list, std::string_view member,
                          KeyOf keyOf)
{
    std::unordered_set<std::string> seen;
    for (std::size_t index = 0; index < entries.size(); ++index) {
        const std::string key = keyOf(entries[index]);
        if (!seen.insert(key).second) {
            return errorAt(fmt::format("/{}/{}/{}", list, index, member), fmt::format("\"{}\" stands twice", key));
        }
    }
    return std::nullopt;
}

OptionalError checkUniqueIds(const Document &document)
{
    const auto idOf = [](const auto &item) { return item.id.text(); };
    const auto modelKey = [](const Model &model) { return model.id.text() + " " + model.version; };
    const auto prefixOf = [](const Service &service) { return service.pathPrefix; };
    const auto vmOf = [](const BackendServer &backendServer) { return backendServer.vm.text(); };
    const std::array<OptionalError, 6> errors{
        checkUnique(document.organisations, "organisations", "id", idOf),
        checkUnique(document.models, "models", "version", modelKey),
        checkUnique(document.groups, "groups", "id", idOf),
        checkUnique(document.services, "services", "id", idOf),
        checkUnique(document.services, "services", "pathPrefix", prefixOf),
        checkUnique(document.backendServers, "backendServers", "vm", vmOf),
    };
    for (const auto &found : errors) {
        if (found) {
            return found;
        }
    }
    return std::nullopt;
}

OptionalError checkRanks(const Group &group, const std::string &pointer)
{
    std::unordered_set<core::RankIndex> seen;
    for (std::size_t index = 0; index < group.ranks.size(); ++index) {
        const auto rank = group.ranks[index].rank;
        const auto rankPointer = fmt::format("{}/ranks/{}/rank", pointer, index);
        if (!seen.insert(rank).second) {
            return errorAt(rankPointer, fmt::format("rank {} stands twice", rank.number()));
        }
        if (rank.number() >= group.ranks.size()) {
            return errorAt(rankPointer,
                           fmt::format("the group has {} ranks, which are numbered from 0", group.ranks.size()));
        }
    }
    return std::nullopt;
}

OptionalError checkGroup(const Document &document, std::size_t index)
{
    const auto &group = document.groups[index];
    const auto pointer = fmt::format("/groups/{}", index);
    if (findModel(document, group.model, group.modelVersion) == nullptr) {
        return errorAt(pointer + "/modelVersion",
                       fmt::format("no model \"{}\" of version \"{}\"", group.model.text(), group.modelVersion));
    }
    const auto slots = std::uint64_t(group.slotsPerRank) * group.ranks.size();
    if (slots < group.experts) {
        return errorAt(pointer + "/slotsPerRank",
                       fmt::format("{} slots over all ranks cannot hold {} experts", slots, group.experts));
    }
    return checkRanks(group, pointer);
}

OptionalError checkService(const Document &document, std::size_t index)
{
    const auto &service = document.services[index];
    const auto pointer = fmt::format("/services/{}", index);
    for (const auto reserved : reservedPathPrefixes) {
        if (service.pathPrefix.starts_with(reserved)) {
            return errorAt(pointer + "/pathPrefix", fmt::format("paths that start with {} are reserved", reserved));
        }
    }
    for (std::size_t route = 0; route < service.nonIdempotentRoutes.size(); ++route) {
        if (!service.nonIdempotentRoutes[route].pathPrefix.starts_with(service.pathPrefix)) {
            return errorAt(fmt::format("{}/nonIdempotentRoutes/{}/pathPrefix", pointer, route),
                           fmt::format("does not start with the service's path prefix {}", service.pathPrefix));
        }
    }
    return std::nullopt;
}

bool hasModelNamed(const Document &document, const core::ModelId &id)
{
    for (const auto &model : document.models) {
        if (model.id == id) {
            return true;
        }
    }
    return false;
}

OptionalError checkObjective(const Document &document, std::size_t index)
{
    const auto &objective = document.objectives[index];
    const auto pointer = fmt::format("/objectives/{}", index);
    if (objective.service.has_value() == objective.model.has_value()) {
        return errorAt(pointer, "exactly one of service and model must be given");
    }
    if (objective.service && findService(document, *objective.service) == nullptr) {
        return errorAt(pointer + "/service", fmt::format("no service \"{}\"", objective.service->text()));
    }
    if (objective.model && !hasModelNamed(document, *objective.model)) {
        return errorAt(pointer + "/model", fmt::format("no model \"{}\"", objective.model->text()));
    }
    if (objective.organisation && findOrganisation(document, *objective.organisation) == nullptr) {
        return errorAt(pointer + "/organisation",
                       fmt::format("no organisation \"{}\"", objective.organisation->text()));
    }
    return std::nullopt;
}

OptionalError checkLimits(const Document &document)
{
    const auto &limits = document.limits;
    if (limits.defaultRequestTimeoutMs > limits.maxRequestTimeoutMs) {
        return errorAt("/limits/defaultRequestTimeoutMs", "is longer than maxRequestTimeoutMs");
    }
    if (limits.initialConcurrency > limits.maxConcurrency) {
        return errorAt("/limits/initialConcurrency", "is more than maxConcurrency");
    }
    const auto &membership = document.membership;
    if (membership.heartbeatTimeoutMs < 2 * membership.heartbeatIntervalMs) {
        return errorAt("/membership/heartbeatTimeoutMs", "is shorter than two heartbeat intervals");
    }
    return std::nullopt;
}

template <typename Entry>
OptionalError checkEach(const Document &document, const std::vector<Entry> &entries,
                        const std::function<OptionalError(const Document &, std::size_t)> &check)
{
    for (std::size_t index = 0; index < entries.size(); ++index) {
        if (auto found = check(document, index)) {
            return found;
        }
    }
    return std::nullopt;
}

} // namespace

core::Status checkSemantics(const Document &document)
{
    const std::array<OptionalError, 5> errors{
        checkUniqueIds(document),
        checkEach(document, document.groups, checkGroup),
        checkEach(document, document.services, checkService),
        checkEach(document, document.objectives, checkObjective),
        checkLimits(document),
    };
    for (const auto &found : errors) {
        if (found) {
            return *found;
        }
    }
    return core::Done{};
}

} // namespace lycheelanding::configuration

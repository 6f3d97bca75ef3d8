#include "lycheelanding/configuration/configurationdocument.h"

#include "lycheelanding/configuration/configurationschema.h"
#include "lycheelanding/configuration/schemachecker.h"
#include "private/documentchecks.h"
#include "private/documentjson.h"
#include "private/jsontext.h"

#include <algorithm>

namespace lycheelanding::configuration {

namespace {

const SchemaChecker &documentChecker()
{
    static const SchemaChecker checker(configurationSchema());
    return checker;
}

template <typename Entry, typename Matches>
const Entry *findEntry(const std::vector<Entry> &entries, Matches matches)
{
    const auto found = std::find_if(entries.begin(), entries.end(), matches);
    return found == entries.end() ? nullptr : &*found;
}

} // namespace

std::string_view emptyDocumentText()
{
    return R"({"groups":[],"models":[],"organisations":[],"services":[]})";
}

core::Result<Document> parseDocument(std::string_view text)
{
    constexpr auto kind = core::ErrorKind::InvalidPatch;
    if (const auto checked = documentChecker().check(text, kind); !core::isOk(checked)) {
        return core::errorOf(checked);
    }
    const auto json = parseJson(text, kind);
    auto document = core::valueOf(json).get<Document>();
    if (const auto semantics = checkSemantics(document); !core::isOk(semantics)) {
        return core::errorOf(semantics);
    }
    return document;
}

const Organisation *findOrganisation(const Document &document, const core::OrganisationId &id)
{
    return findEntry(document.organisations, [&](const Organisation &entry) { return entry.id == id; });
}

const Model *findModel(const Document &document, const core::ModelId &id, std::string_view version)
{
    return findEntry(document.models, [&](const Model &entry) { return entry.id == id && entry.version == version; });
}

const Group *findGroup(const Document &document, const core::GroupId &id)
{
    return findEntry(document.groups, [&](const Group &entry) { return entry.id == id; });
}

const Service *findService(const Document &document, const core::ServiceId &id)
{
    return findEntry(document.services, [&](const Service &entry) { return entry.id == id; });
}

const Service *serviceOfPath(const Document &document, std::string_view path)
{
    const Service *longest = nullptr;
    for (const auto &service : document.services) {
        const bool isLonger = longest == nullptr || service.pathPrefix.size() > longest->pathPrefix.size();
        if (isLonger && path.starts_with(service.pathPrefix)) {
            longest = &service;
        }
    }
    return longest;
}

bool isNonIdempotent(const Service &service, std::string_view method, std::string_view path)
{
    const auto matches
        = [&](const NonIdempotentRoute &route) { return route.method == method && path.starts_with(route.pathPrefix); };
    return std::any_of(service.nonIdempotentRoutes.begin(), service.nonIdempotentRoutes.end(), matches);
}

bool honoursFencing(const Document &document, const core::VmId &vm)
{
    const auto *entry
        = findEntry(document.backendServers, [&](const BackendServer &candidate) { return candidate.vm == vm; });
    return entry != nullptr && entry->honoursFencing;
}

} // namespace lycheelanding::configuration

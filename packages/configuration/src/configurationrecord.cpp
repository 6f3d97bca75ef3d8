#include "lycheelanding/configuration/configurationrecord.h"

#include "lycheelanding/configuration/configurationdocument.h"
#include "lycheelanding/configuration/configurationpatch.h"
#include "lycheelanding/core/stablehash.h"
#include "private/documentjson.h"
#include "private/jsontext.h"

#include <fmt/format.h>

#include <algorithm>

template <>
struct nlohmann::adl_serializer<lycheelanding::core::WallTime>
{
    static void to_json(json &value, const lycheelanding::core::WallTime &time)
    {
        value = time.time_since_epoch().count();
    }

    static void from_json(const json &value, lycheelanding::core::WallTime &time)
    {
        time = lycheelanding::core::WallTime(std::chrono::milliseconds(value.get<std::int64_t>()));
    }
};

namespace lycheelanding::configuration {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AcceptedPatch, id, version, fingerprint, acceptedAt, submittedBy, text)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigurationRecord, version, document, patches)

namespace {

constexpr std::size_t maxSubmittedByBytes = 128;

std::uint64_t fingerprintOf(const SubmittedPatch &patch)
{
    return core::stableHash(fmt::format("{} {}", patch.expectedVersion.number(), patch.text));
}

/// Limits the size of the record: removes the oldest patches, then the texts of old patches and long texts.
void trimPatches(std::deque<AcceptedPatch> &patches)
{
    while (patches.size() > maxStoredPatches) {
        patches.pop_front();
    }
    for (std::size_t index = 0; index < patches.size(); ++index) {
        const bool isOld = patches.size() - index > maxStoredPatchTexts;
        if (isOld || patches[index].text.size() > maxStoredPatchTextBytes) {
            patches[index].text.clear();
        }
    }
}

} // namespace

ConfigurationRecord emptyRecord()
{
    return {core::ConfigurationVersion(0), std::string(emptyDocumentText()), {}};
}

core::Result<std::string> encodeRecord(const ConfigurationRecord &record)
{
    auto text = nlohmann::json(record).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() > maxRecordBytes) {
        return errorAtPointer(core::ErrorKind::InvalidPatch, "",
                              fmt::format("the record would take {} bytes of {}", text.size(), maxRecordBytes));
    }
    return text;
}

core::Result<ConfigurationRecord> decodeRecord(std::string_view text)
{
    const auto json = parseJson(text, core::ErrorKind::Internal);
    if (!core::isOk(json)) {
        return core::errorOf(json);
    }
    try {
        return core::valueOf(json).get<ConfigurationRecord>();
    } catch (const nlohmann::json::exception &exception) {
        return errorAtPointer(core::ErrorKind::Internal, "", messageWithoutTag(exception.what()));
    }
}

core::Result<std::optional<core::ConfigurationVersion>> versionOfRepeat(const ConfigurationRecord &record,
                                                                        const SubmittedPatch &patch)
{
    const auto hasSameId = [&](const AcceptedPatch &accepted) { return accepted.id == patch.id; };
    const auto found = std::find_if(record.patches.begin(), record.patches.end(), hasSameId);
    if (found == record.patches.end()) {
        return std::optional<core::ConfigurationVersion>();
    }
    if (found->fingerprint != fingerprintOf(patch)) {
        return errorAtPointer(core::ErrorKind::InvalidPatch, "",
                              fmt::format("patch id \"{}\" was used for another patch, which led to version {}",
                                          patch.id.text(), found->version.number()));
    }
    return std::optional(found->version);
}

core::Result<ConfigurationRecord> applyToRecord(const ConfigurationRecord &record, const SubmittedPatch &patch,
                                                core::WallTime now)
{
    if (record.version != patch.expectedVersion) {
        return core::Error{core::ErrorKind::VersionConflict,
                           fmt::format("the patch names version {}, the current one is {}",
                                       patch.expectedVersion.number(), record.version.number())};
    }
    auto document = applyPatch(record.document, patch.text);
    if (!core::isOk(document)) {
        return core::errorOf(document);
    }
    ConfigurationRecord next = record;
    next.version = record.version.next();
    next.document = core::takeValue(std::move(document));
    next.patches.push_back({patch.id, next.version, fingerprintOf(patch), now,
                            patch.submittedBy.substr(0, maxSubmittedByBytes), patch.text});
    trimPatches(next.patches);
    return next;
}

std::string historyJson(const ConfigurationRecord &record)
{
    auto history = nlohmann::json::array();
    for (auto patch = record.patches.rbegin(); patch != record.patches.rend(); ++patch) {
        history.push_back({{"version", patch->version},
                           {"patchId", patch->id},
                           {"acceptedAtMs", patch->acceptedAt},
                           {"submittedBy", patch->submittedBy},
                           {"patch", patch->text}});
    }
    return history.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace lycheelanding::configuration

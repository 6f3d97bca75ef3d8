#include "settings/daemonsettings.h"

#include "settings/private/settingsschema.h"

#include "lycheelanding/configuration/schemachecker.h"
#include "lycheelanding/core/nametable.h"

#include <nlohmann/json.hpp>

#include <array>
#include <fstream>
#include <sstream>

namespace lycheelanding::daemon::settings {

namespace {

using Json = nlohmann::json;

constexpr std::array<core::NameEntry<BackendKind>, 2> backendKindNames{{
    {BackendKind::Engine, "engine"},
    {BackendKind::Plain, "plain"},
}};

core::Error invalid(const std::string &file, const std::string &reason)
{
    return core::Error{core::ErrorKind::InvalidSettings, file + ": " + reason};
}

/// Reads the file and validates it against the schema.
core::Result<Json> readCheckedJson(const std::string &file, std::string_view schema)
{
    std::ifstream stream(file);
    if (!stream) {
        return invalid(file, "cannot be opened");
    }
    std::ostringstream text;
    text << stream.rdbuf();
    const auto checked = configuration::SchemaChecker(schema).check(text.str());
    if (!core::isOk(checked)) {
        return invalid(file, core::errorOf(checked).detail);
    }
    return Json::parse(text.str());
}

std::chrono::milliseconds millisecondsIn(const Json &json, const char *key, std::chrono::milliseconds defaultValue)
{
    return std::chrono::milliseconds(json.value(key, defaultValue.count()));
}

CommonSettings commonSettingsFrom(const Json &json)
{
    CommonSettings common;
    common.vm = core::VmId(json.at("vm").get<std::string>());
    common.dataCentre = core::DataCentreId(json.at("dataCentre").get<std::string>());
    common.peerAddress = json.at("peerAddress").get<std::string>();
    common.httpAddress = json.at("httpAddress").get<std::string>();
    common.vmListUrl = json.at("vmListUrl").get<std::string>();
    common.workers = json.value("workers", common.workers);
    common.logLevel = json.value("logLevel", common.logLevel);
    common.vmListInterval = millisecondsIn(json, "vmListIntervalMs", common.vmListInterval);
    return common;
}

} // namespace

core::Result<EntrySettings> readEntrySettings(const std::string &file)
{
    const auto checked = readCheckedJson(file, entrySettingsSchema());
    if (!core::isOk(checked)) {
        return core::errorOf(checked);
    }
    const auto &json = core::valueOf(checked);
    EntrySettings settings;
    settings.common = commonSettingsFrom(json);
    settings.keyValueUrl = json.at("keyValueUrl").get<std::string>();
    settings.keyValueTimeout = millisecondsIn(json, "keyValueTimeoutMs", settings.keyValueTimeout);
    settings.maxHeaderValueBytes = json.value("maxHeaderValueBytes", settings.maxHeaderValueBytes);
    settings.readTimeout = millisecondsIn(json, "readTimeoutMs", settings.readTimeout);
    settings.maxUnsentBytes = json.value("maxUnsentBytes", settings.maxUnsentBytes);
    settings.notReadyTime = millisecondsIn(json, "notReadyTimeMs", settings.notReadyTime);
    return settings;
}

core::Result<SideSettings> readSideSettings(const std::string &file)
{
    const auto checked = readCheckedJson(file, sideSettingsSchema());
    if (!core::isOk(checked)) {
        return core::errorOf(checked);
    }
    const auto &json = core::valueOf(checked);
    SideSettings settings;
    settings.common = commonSettingsFrom(json);
    settings.backendUrl = json.at("backendUrl").get<std::string>();
    settings.backendKind
        = core::valueIn(backendKindNames, json.at("backendKind").get<std::string>()).value_or(BackendKind::Plain);
    settings.keyValueUrl = json.value("keyValueUrl", settings.keyValueUrl);
    settings.loadInterval = millisecondsIn(json, "loadIntervalMs", settings.loadInterval);
    return settings;
}

} // namespace lycheelanding::daemon::settings

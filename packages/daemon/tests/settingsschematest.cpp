#include "settings/private/settingsschema.h"
#include "settings/daemonsettings.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <map>

namespace lycheelanding::daemon::settings {

namespace {

using Json = nlohmann::json;

/// Writes a settings file named after the running test; returns its path.
std::string writeSettingsFile(const Json &json)
{
    const auto name = std::filesystem::temp_directory_path()
        / ("lycheelanding-" + std::string(testing::UnitTest::GetInstance()->current_test_info()->name()) + ".json");
    std::ofstream(name) << json;
    return name;
}

Json requiredCommon()
{
    return {{"vm", "vm-1"},
            {"dataCentre", "dc"},
            {"peerAddress", "127.0.0.1:0"},
            {"httpAddress", "127.0.0.1:0"},
            {"vmListUrl", "http://127.0.0.1:1"}};
}

/// The properties of a schema that have a default, with that default.
std::map<std::string, Json> defaultsOf(std::string_view schema)
{
    std::map<std::string, Json> defaults;
    const auto json = Json::parse(schema);
    for (const auto &[key, property] : json["properties"].items()) {
        if (property.contains("default")) {
            defaults[key] = property["default"];
        }
    }
    return defaults;
}

std::map<std::string, Json> commonDefaults(const CommonSettings &common)
{
    return {{"workers", common.workers},
            {"logLevel", common.logLevel},
            {"vmListIntervalMs", common.vmListInterval.count()}};
}

} // namespace

TEST(SettingsSchemaTest, defaultsOfTheSchemaEqualThoseOfTheSettingsTypes)
{
    auto json = requiredCommon();
    json["keyValueUrl"] = "http://127.0.0.1:1";
    const auto entry = readEntrySettings(writeSettingsFile(json));
    ASSERT_TRUE(core::isOk(entry)) << core::errorOf(entry).detail;
    const auto &settings = core::valueOf(entry);
    auto expected = commonDefaults(settings.common);
    expected.insert({{"keyValueTimeoutMs", settings.keyValueTimeout.count()},
                     {"maxHeaderValueBytes", settings.maxHeaderValueBytes},
                     {"readTimeoutMs", settings.readTimeout.count()},
                     {"maxUnsentBytes", settings.maxUnsentBytes},
                     {"notReadyTimeMs", settings.notReadyTime.count()}});
    EXPECT_EQ(defaultsOf(entrySettingsSchema()), expected);

    json = requiredCommon();
    json["backendUrl"] = "http://127.0.0.1:1";
    json["backendKind"] = "plain";
    const auto side = readSideSettings(writeSettingsFile(json));
    ASSERT_TRUE(core::isOk(side)) << core::errorOf(side).detail;
    expected = commonDefaults(core::valueOf(side).common);
    expected.insert({{"loadIntervalMs", core::valueOf(side).loadInterval.count()}});
    EXPECT_EQ(defaultsOf(sideSettingsSchema()), expected);
}

} // namespace lycheelanding::daemon::settings

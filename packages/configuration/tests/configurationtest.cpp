#include "lycheelanding/configuration/configurationdocument.h"
#include "lycheelanding/configuration/configurationpatch.h"
#include "lycheelanding/configuration/configurationrecord.h"
#include "lycheelanding/configuration/configurationschema.h"
#include "lycheelanding/configuration/schemachecker.h"
#include "private/documentjson.h"

#include <gtest/gtest.h>

namespace lycheelanding::configuration {

namespace {

using nlohmann::json;

json sampleDocument()
{
    return json::parse(R"({
        "organisations": [{"id": "plating"}, {"id": "fixtures", "weight": 2}],
        "models": [{"id": "drafter", "version": "1"}],
        "groups": [{"id": "g", "model": "drafter", "modelVersion": "1", "expertLayers": 2, "experts": 4,
                    "slotsPerRank": 3, "ranks": [{"rank": 1, "vm": "vm-b"}, {"rank": 0, "vm": "vm-a"}]}],
        "services": [{"id": "desk", "pathPrefix": "/desk/", "vms": ["vm-c"],
                      "nonIdempotentRoutes": [{"method": "POST", "pathPrefix": "/desk/fees"}]},
                     {"id": "draws", "pathPrefix": "/desk/draws/"}],
        "backendServers": [{"vm": "vm-a", "honoursFencing": true}],
        "objectives": [{"service": "desk"}, {"model": "drafter", "organisation": "plating"}]
    })");
}

std::string detailOf(const json &document)
{
    const auto result = parseDocument(document.dump());
    return core::isOk(result) ? "" : core::errorOf(result).detail;
}

json withChange(std::string_view patch)
{
    return sampleDocument().patch(json::parse(patch));
}

SubmittedPatch weightPatch(std::uint64_t expectedVersion, const std::string &id, int weight)
{
    const auto text = json::array({{{"op", "add"}, {"path", "/organisations/0/weight"}, {"value", weight}}}).dump();
    return {core::PatchId(id), core::ConfigurationVersion(expectedVersion), text, "operator"};
}

SubmittedPatch firstPatch()
{
    const auto text = json::array({{{"op", "replace"}, {"path", ""}, {"value", sampleDocument()}}}).dump();
    return {core::PatchId("first"), core::ConfigurationVersion(0), text, "operator"};
}

ConfigurationRecord firstRecord()
{
    return core::valueOf(applyToRecord(emptyRecord(), firstPatch(), core::WallTime()));
}

} // namespace

TEST(ConfigurationDocumentTest, parsesTheSampleDocument)
{
    const auto result = parseDocument(sampleDocument().dump());
    ASSERT_TRUE(core::isOk(result)) << core::errorOf(result).detail;
    const auto &document = core::valueOf(result);
    EXPECT_EQ(document.groups[0].ranks[0].rank, core::RankIndex(1));
    EXPECT_TRUE(honoursFencing(document, core::VmId("vm-a")));
    EXPECT_FALSE(honoursFencing(document, core::VmId("vm-b")));
    const auto *desk = serviceOfPath(document, "/desk/fees/7");
    ASSERT_NE(desk, nullptr);
    EXPECT_EQ(desk->id, core::ServiceId("desk"));
    EXPECT_TRUE(isNonIdempotent(*desk, "POST", "/desk/fees/7"));
    EXPECT_FALSE(isNonIdempotent(*desk, "GET", "/desk/fees/7"));
    EXPECT_EQ(serviceOfPath(document, "/desk/draws/1")->id, core::ServiceId("draws"));
    EXPECT_EQ(serviceOfPath(document, "/other"), nullptr);
}

TEST(ConfigurationDocumentTest, errorsPointToTheInvalidMember)
{
    struct Case
    {
        std::string_view patch;
        std::string_view pointer;
    };
    const Case cases[] = {
        {R"([{"op":"add","path":"/organisation","value":1}])", "/: "},
        {R"([{"op":"remove","path":"/models"}])", "/: "},
        {R"([{"op":"add","path":"/organisations/0/wieght","value":1}])", "/organisations/0: "},
        {R"([{"op":"add","path":"/organisations/0/weight","value":0}])", "/organisations/0/weight: "},
        {R"([{"op":"add","path":"/organisations/0/weight","value":"1"}])", "/organisations/0/weight: "},
        {R"([{"op":"add","path":"/organisations/1/id","value":"plating"}])", "/organisations/1/id: "},
        {R"([{"op":"add","path":"/limits","value":{"maxBodyBytes":1}}])", "/limits/maxBodyBytes: "},
        {R"([{"op":"add","path":"/limits","value":{"maxBodyBytes":1e99}}])", "/limits/maxBodyBytes: "},
        {R"([{"op":"add","path":"/limits","value":{"maxBodyBytes":18446744073709551615}}])", "/limits/maxBodyBytes: "},
        {R"([{"op":"add","path":"/limits","value":{"maxRequestTimeoutMs":1}}])", "/limits/defaultRequestTimeoutMs: "},
        {R"([{"op":"add","path":"/groups/0/model","value":"x"}])", "/groups/0/modelVersion: "},
        {R"([{"op":"add","path":"/groups/0/experts","value":7}])", "/groups/0/slotsPerRank: "},
        {R"([{"op":"add","path":"/groups/0/ranks/0/rank","value":0}])", "/groups/0/ranks/1/rank: "},
        {R"([{"op":"add","path":"/groups/0/ranks/0/rank","value":2}])", "/groups/0/ranks/0/rank: "},
        {R"([{"op":"add","path":"/services/1/pathPrefix","value":"/desk/"}])", "/services/1/pathPrefix: "},
        {R"([{"op":"add","path":"/services/1/pathPrefix","value":"/v1/x"}])", "/services/1/pathPrefix: "},
        {R"([{"op":"add","path":"/services/0/nonIdempotentRoutes/0/pathPrefix","value":"/fees"}])",
         "/services/0/nonIdempotentRoutes/0/pathPrefix: "},
        {R"([{"op":"add","path":"/objectives/0/model","value":"drafter"}])", "/objectives/0: "},
        {R"([{"op":"add","path":"/objectives/1/organisation","value":"x"}])", "/objectives/1/organisation: "},
        {R"([{"op":"add","path":"/membership","value":{"heartbeatTimeoutMs":900}}])",
         "/membership/heartbeatTimeoutMs: "},
    };
    EXPECT_EQ(detailOf(sampleDocument()), "");
    for (const auto &testCase : cases) {
        const auto detail = detailOf(withChange(testCase.patch));
        EXPECT_TRUE(detail.starts_with(testCase.pointer)) << testCase.patch << " -> " << detail;
    }
    EXPECT_TRUE(core::errorOf(parseDocument("{\n  \"a\": }")).detail.find("line 2") != std::string::npos);
}

TEST(ConfigurationSchemaTest, defaultsEqualThoseOfTheStructs)
{
    const auto schema = json::parse(configurationSchema());
    const auto check = [](const json &properties, const json &value, const std::string &path) {
        for (const auto &[key, property] : properties.items()) {
            if (property.contains("default")) {
                EXPECT_EQ(property["default"], value.at(key)) << path << "/" << key;
            }
            EXPECT_TRUE(value.contains(key)) << path << "/" << key;
        }
        EXPECT_EQ(properties.size(), value.size()) << path;
    };
    const json document = Document();
    for (const auto *section : {"limits", "retries", "idempotency", "experts", "membership"}) {
        check(schema["properties"][section]["properties"], document[section], section);
    }
    const auto items = [&](const char *list) { return schema["properties"][list]["items"]["properties"]; };
    check(items("organisations"), Organisation(), "organisations");
    check(items("groups"), Group(), "groups");
    check(items("services"), Service(), "services");
    check(items("backendServers"), BackendServer(), "backendServers");
    check(items("objectives"), Objective(), "objectives");
}

TEST(SchemaCheckerTest, keysWithSlashesAreEscapedInPointers)
{
    const SchemaChecker checker(R"({"additionalProperties": {"type": "integer"}})");
    EXPECT_TRUE(core::isOk(checker.check(R"({"a": 1})")));
    const auto status = checker.check(R"({"a/b~c": "x"})");
    ASSERT_FALSE(core::isOk(status));
    EXPECT_EQ(core::errorOf(status).kind, core::ErrorKind::InvalidSettings);
    EXPECT_TRUE(core::errorOf(status).detail.starts_with("/a~1b~0c: ")) << core::errorOf(status).detail;
}

TEST(ConfigurationPatchTest, errorsPointToTheOperationOrTheInvalidMember)
{
    struct Case
    {
        std::string_view patch;
        std::string_view pointer;
    };
    const Case cases[] = {
        {"{", "/: "},
        {"{}", "/: a patch is an array"},
        {"[1]", "/0: "},
        {R"([{"op":"test","path":"/models/0/version","value":"2"}])", "/0: "},
        {R"([{"op":"remove","path":"/objectives/0"},{"op":"remove","path":"/nowhere"}])", "/1: "},
        {R"([{"op":"replace","path":"","value":3}])", "/: "},
        {R"([{"op":"remove","path":""}])", "/0: "},
        {R"([{"op":"add","path":"/models/0/version/x","value":1}])", "/0: "},
        {R"([{"op":"move","from":"/models","path":"/models/0/version/x"}])", "/0: "},
        {R"([{"op":"add","path":"/models","value":[1,{},2]},{"op":"move","from":"/models/0","path":"/models/1/x"}])",
         "/1: "},
        {R"([{"op":"remove","path":"/models/0/version/x"}])", "/0: "},
        {R"([{"op":"copy","from":"/nowhere","path":"/models/0"}])", "/0: "},
        {R"([{"op":"add","path":"models","value":1}])", "/0: "},
        {R"([{"op":"add","path":"/models/x","value":1}])", "/0: "},
        {R"([{"op":"add","path":"/models/9","value":1}])", "/0: "},
        {R"([{"op":"add","path":"/retries","value":{"maxAttempts":0}}])", "/retries/maxAttempts: "},
        {R"([{"op":"add","path":"/idempotency","value":{"partitions":8}}])", "/idempotency/partitions: "},
    };
    for (const auto &testCase : cases) {
        const auto result = applyPatch(sampleDocument().dump(), testCase.patch);
        ASSERT_FALSE(core::isOk(result)) << testCase.patch;
        EXPECT_EQ(core::errorOf(result).kind, core::ErrorKind::InvalidPatch);
        EXPECT_TRUE(core::errorOf(result).detail.starts_with(testCase.pointer))
            << testCase.patch << " -> " << core::errorOf(result).detail;
    }
}

TEST(ConfigurationRecordTest, aPatchAppliesOnlyToItsExpectedVersion)
{
    const auto record = firstRecord();
    EXPECT_EQ(record.version, core::ConfigurationVersion(1));
    const auto next = applyToRecord(record, weightPatch(1, "p", 5), core::WallTime());
    ASSERT_TRUE(core::isOk(next)) << core::errorOf(next).detail;
    EXPECT_EQ(core::valueOf(parseDocument(core::valueOf(next).document)).organisations[0].weight, 5);
    const auto late = applyToRecord(core::valueOf(next), weightPatch(1, "q", 6), core::WallTime());
    EXPECT_EQ(core::errorOf(late).kind, core::ErrorKind::VersionConflict);
}

TEST(ConfigurationRecordTest, aResubmissionIsDistinguishedFromAnotherPatchWithItsId)
{
    const auto record = core::valueOf(applyToRecord(firstRecord(), weightPatch(1, "p", 5), core::WallTime()));
    EXPECT_EQ(core::valueOf(versionOfRepeat(record, weightPatch(1, "p", 5))), core::ConfigurationVersion(2));
    EXPECT_EQ(core::valueOf(versionOfRepeat(record, weightPatch(1, "q", 5))), std::nullopt);
    EXPECT_EQ(core::errorOf(versionOfRepeat(record, weightPatch(1, "p", 6))).kind, core::ErrorKind::InvalidPatch);
}

TEST(ConfigurationRecordTest, encodingPreservesTheRecordWithinItsBounds)
{
    auto record = firstRecord();
    for (std::uint64_t version = 1; version < 300; ++version) {
        const auto patch = weightPatch(version, "p" + std::to_string(version), int(version));
        record = core::valueOf(applyToRecord(record, patch, core::WallTime()));
    }
    EXPECT_EQ(record.patches.size(), maxStoredPatches);
    const auto text = core::valueOf(encodeRecord(record));
    const auto decoded = core::valueOf(decodeRecord(text));
    EXPECT_EQ(decoded.version, core::ConfigurationVersion(300));
    EXPECT_EQ(decoded.document, record.document);
    EXPECT_EQ(core::valueOf(encodeRecord(decoded)), text);
    EXPECT_EQ(json::parse(historyJson(decoded))[0]["version"], 300);

    record.document = std::string(maxRecordBytes, 'x');
    EXPECT_EQ(core::errorOf(encodeRecord(record)).kind, core::ErrorKind::InvalidPatch);
    EXPECT_FALSE(core::isOk(decodeRecord("{\"version\":1}")));
    EXPECT_FALSE(core::isOk(decodeRecord("not json")));
}

} // namespace lycheelanding::configuration

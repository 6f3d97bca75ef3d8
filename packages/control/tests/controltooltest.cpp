#include "lycheelanding/control/controltool.h"

#include "testserver.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>
#include <mutex>
#include <set>

namespace lycheelanding::control {

namespace {

using nlohmann::json;

constexpr const char *document = R"({"organisations":[{"id":"o"}],"models":[],"groups":[],
    "services":[{"id":"desk","pathPrefix":"/desk/"}],"objectives":[{"service":"desk"}]})";

std::string problemJson(const std::string &kind, const std::string &extra = "")
{
    return R"({"kind":")" + kind + R"(","detail":"the reason","status":1)" + extra + "}";
}

/// An entry that accepts each patch id once and injects faults into its answers to PATCH.
class FakeEntry
{
public:
    enum class PatchFault : std::uint8_t {
        None,
        LosesAnswers,
        AnswersUndecided,
        AnswersStoreUnavailable,
        AnswersConflict,
        AnswersInvalid,
    };

    FakeEntry() : m_server([this](const http::HttpExchangePointer &exchange) { answer(exchange); }) { }

    std::string url() const { return m_server.url(""); }

    /// The next `faultCount` answers to PATCH have this fault.
    void injectFault(PatchFault fault, int faultCount)
    {
        m_fault = fault;
        m_remainingFaults = faultCount;
    }

    int applied() const { return m_applied; }
    int patchCalls() const { return m_patchCalls; }

private:
    void answer(const http::HttpExchangePointer &exchange)
    {
        const auto &request = exchange->request();
        const auto path = std::string(request.path());
        if (request.method == "PATCH") {
            answerPatch(exchange);
            return;
        }
        if (request.method == "POST") {
            const bool isKnown = path == "/drain/vm-a";
            exchange->respond(http::jsonResponse(isKnown ? 202 : 404, isKnown ? "{}" : problemJson("unknownRoute")));
            return;
        }
        auto response = http::jsonResponse(200, bodyFor(path));
        response.headers.add("ETag", "\"7\"");
        exchange->respond(std::move(response));
    }

    std::string bodyFor(const std::string &path) const
    {
        static const std::map<std::string, std::string> bodies{
            {"/configuration", document},
            {"/configuration/history", R"({"version":7,"history":[{"version":7,"patchId":"p","acceptedAtMs":0,
                "submittedBy":"me","patch":"[]"}]})"},
            {"/configuration/status", R"({"version":7,"processes":[
                {"vm":"e1","role":"entry","dataCentre":"dc","version":7,"stale":false,"lastSeenMs":0},
                {"vm":"s1","role":"side","dataCentre":"dc","version":6,"stale":false,"lastSeenMs":5}]})"},
            {"/burn", R"({"series":[{"service":"desk","organisation":"o","availability":
                [[5,10],[5,10],[5,10],[5,10]],"firstToken":[[0,0],[0,0],[0,0],[0,0]],
                "betweenTokens":[[0,0],[0,0],[0,0],[0,0]]}]})"},
            {"/status", R"({"entry":{"vm":"e1","dataCentre":"dc","state":"serving","configurationVersion":7,
                "stale":false},"backendServers":[{"vm":"vm-a","dataCentre":"dc",
                "state":"serving","routable":true,"inFlight":1,"limit":16,"queued":0,"outstandingTokens":9,"lastSeenMs":3}]})"},
        };
        return bodies.at(path);
    }

    void answerPatch(const http::HttpExchangePointer &exchange)
    {
        const std::lock_guard lock(m_mutex);
        const auto &headers = exchange->request().headers;
        ++m_patchCalls;
        const bool isWellFormed
            = headers.find("If-Match") == "\"7\"" && headers.find("Content-Type") == "application/json-patch+json";
        const bool isFaulty = m_remainingFaults-- > 0;
        const auto fault = isFaulty ? m_fault : PatchFault::None;
        const bool isRefused = fault == PatchFault::AnswersStoreUnavailable || fault == PatchFault::AnswersConflict
            || fault == PatchFault::AnswersInvalid;
        if (!isRefused && isWellFormed && m_acceptedIds.insert(headers.find("Patch-Id").value_or("")).second) {
            ++m_applied;
        }
        switch (fault) {
        case PatchFault::None:
            exchange->respond(http::jsonResponse(isWellFormed ? 200 : 400, R"({"version":8})"));
            return;
        case PatchFault::LosesAnswers:
            exchange->startStream(200, {});
            exchange->abort();
            return;
        case PatchFault::AnswersUndecided:
            exchange->respond(http::jsonResponse(503, problemJson("patchUndecided")));
            return;
        case PatchFault::AnswersStoreUnavailable:
            exchange->respond(http::jsonResponse(503, problemJson("storeUnavailable")));
            return;
        case PatchFault::AnswersConflict:
            exchange->respond(http::jsonResponse(412, problemJson("versionConflict", R"(,"currentVersion":9)")));
            return;
        case PatchFault::AnswersInvalid:
            exchange->respond(http::jsonResponse(422, problemJson("invalidPatch")));
            return;
        }
    }

    std::mutex m_mutex;
    PatchFault m_fault = PatchFault::None;
    int m_remainingFaults = 0;
    std::set<std::string> m_acceptedIds;
    std::atomic<int> m_applied = 0;
    std::atomic<int> m_patchCalls = 0;
    http::TestServer m_server;
};

/// The URL of a server that has been closed, so that nothing listens on its port.
std::string unreachableUrl()
{
    const FakeEntry entry;
    return entry.url();
}

CommandResult run(std::vector<std::string> arguments, const std::vector<std::string> &entries)
{
    for (const auto &entry : entries) {
        arguments.insert(arguments.end(), {"--entry", entry});
    }
    using namespace std::chrono_literals;
    return runTool(arguments, {.timeout = 300ms, .initialDelay = 10ms, .maxDelay = 20ms});
}

CommandResult runPatch(const std::vector<std::string> &entries)
{
    return run({"config", "patch", "--expect", "7", "--patch", "[]", "--patch-id", "id1", "--json"}, entries);
}

} // namespace

TEST(CommandLineTest, usageErrorsAreReportedOnOneLine)
{
    const std::vector<std::vector<std::string>> cases{
        {},
        {"burn"},
        {"nothing", "--entry", "http://127.0.0.1:1"},
        {"config", "--entry", "http://127.0.0.1:1"},
        {"burn", "--entry", "127.0.0.1:1"},
        {"burn", "--entry", "http://127.0.0.1:1", "--unknown"},
        {"burn", "more", "--entry", "http://127.0.0.1:1"},
        {"drain", "--entry", "http://127.0.0.1:1"},
        {"status", "--entry", "http://127.0.0.1:1", "--timeout-ms", "x"},
        {"config", "patch", "--patch", "[]", "--entry", "http://127.0.0.1:1"},
        {"config", "patch", "--expect", "-1", "--patch", "[]", "--entry", "http://127.0.0.1:1"},
        {"config", "patch", "--expect", "1", "--entry", "http://127.0.0.1:1"},
        {"config", "patch", "--expect", "1", "--file", "/nowhere/x", "--entry", "http://127.0.0.1:1"},
    };
    for (const auto &arguments : cases) {
        const auto result = runTool(arguments);
        EXPECT_EQ(result.code, ExitCode::Invalid) << result.message;
        EXPECT_EQ(result.output, "");
        EXPECT_EQ(std::count(result.message.begin(), result.message.end(), '\n'), 1) << result.message;
    }
    const auto asJson = runTool({"nothing", "--json"});
    EXPECT_EQ(json::parse(asJson.output)["result"], "invalid");
}

TEST(CommandLineTest, helpNamesCommandsOptionsAndExitCodes)
{
    const auto help = runTool({"--help"});
    EXPECT_EQ(help.code, ExitCode::Ok);
    for (const auto *text : {"config patch", "--patch-id", "--entry", "  5  no entry"}) {
        EXPECT_NE(help.output.find(text), std::string::npos) << text << "\n" << help.output;
    }
    EXPECT_TRUE(runTool({"--version"}).output.starts_with("lycheectl "));
}

TEST(ControlToolTest, patchOutcomesAndTheirExitCodes)
{
    using Fault = FakeEntry::PatchFault;
    struct Case
    {
        Fault fault;
        int faultCount;
        ExitCode code;
        int applied;
    };
    constexpr int always = 1000;
    const Case cases[] = {
        {Fault::None, 0, ExitCode::Ok, 1},
        {Fault::LosesAnswers, 2, ExitCode::Ok, 1},
        {Fault::LosesAnswers, always, ExitCode::Undecided, 1},
        {Fault::AnswersUndecided, 2, ExitCode::Ok, 1},
        {Fault::AnswersUndecided, always, ExitCode::Undecided, 1},
        {Fault::AnswersStoreUnavailable, 1, ExitCode::Ok, 1},
        {Fault::AnswersStoreUnavailable, always, ExitCode::Unreachable, 0},
        {Fault::AnswersConflict, always, ExitCode::Conflict, 0},
        {Fault::AnswersInvalid, always, ExitCode::Invalid, 0},
    };
    for (const auto &testCase : cases) {
        FakeEntry entry;
        entry.injectFault(testCase.fault, testCase.faultCount);
        const auto result = runPatch({unreachableUrl(), entry.url()});
        EXPECT_EQ(result.code, testCase.code) << int(testCase.fault) << result.message;
        EXPECT_EQ(entry.applied(), testCase.applied) << int(testCase.fault);
        const auto object = json::parse(result.output);
        EXPECT_EQ(object["result"], nameOf(testCase.code));
        EXPECT_EQ(object["patchId"], "id1");
        if (testCase.code == ExitCode::Ok) {
            EXPECT_EQ(object["version"], 8);
        }
    }
}

// Guards against giving up before each entry was tried: the first one may take the whole timeout to fail.
TEST(ControlToolTest, eachEntryIsTriedOnceWhateverTheTimeout)
{
    using namespace std::chrono_literals;
    FakeEntry entry;
    const std::vector<std::string> arguments{"config",     "patch", "--expect", "7",       "--patch",        "[]",
                                             "--patch-id", "id1",   "--json",   "--entry", unreachableUrl(), "--entry",
                                             entry.url()};
    const auto result = runTool(arguments, {.timeout = 0ms, .initialDelay = 10ms, .maxDelay = 20ms});
    EXPECT_EQ(result.code, ExitCode::Ok) << result.message;
    EXPECT_EQ(entry.applied(), 1);
}

TEST(ControlToolTest, conflictReportsTheCurrentVersionAndTheNextStep)
{
    FakeEntry entry;
    entry.injectFault(FakeEntry::PatchFault::AnswersConflict, 1);
    const auto result = runPatch({entry.url()});
    EXPECT_EQ(json::parse(result.output)["currentVersion"], 9);
    EXPECT_NE(result.message.find("--expect 9"), std::string::npos) << result.message;
    EXPECT_EQ(entry.patchCalls(), 1);
}

TEST(ControlToolTest, anUndecidedPatchNamesItsId)
{
    FakeEntry entry;
    entry.injectFault(FakeEntry::PatchFault::AnswersUndecided, 1000);
    const auto result = runPatch({entry.url()});
    EXPECT_NE(result.message.find("--patch-id id1 --expect 7"), std::string::npos) << result.message;
}

TEST(ControlToolTest, readingCommandsPrintTextAndJson)
{
    struct Case
    {
        std::vector<std::string> arguments;
        ExitCode code;
        std::string text;
        std::string key;
    };
    const Case cases[] = {
        {{"config", "show"}, ExitCode::Ok, "\"desk\"", "document"},
        {{"config", "history"}, ExitCode::Ok, "1970-01-01T00:00:00Z", "history"},
        {{"config", "status"}, ExitCode::Failed, "not on the version", "processes"},
        {{"burn"}, ExitCode::Ok, "service desk", "rows"},
        {{"status"}, ExitCode::Ok, "vm-a", "entries"},
        {{"drain", "vm-a"}, ExitCode::Ok, "vm-a is draining", "state"},
    };
    const FakeEntry entry;
    const auto unreachableEntry = unreachableUrl();
    for (const auto &testCase : cases) {
        const auto text = run(testCase.arguments, {unreachableEntry, entry.url()});
        EXPECT_EQ(text.code, testCase.code) << text.message;
        EXPECT_NE(text.output.find(testCase.text), std::string::npos) << text.output;
        auto arguments = testCase.arguments;
        arguments.emplace_back("--json");
        EXPECT_TRUE(json::parse(run(arguments, {unreachableEntry, entry.url()}).output).contains(testCase.key));
        const auto unreachableResult = run(arguments, {unreachableEntry});
        EXPECT_EQ(unreachableResult.code, ExitCode::Unreachable) << testCase.key;
        EXPECT_EQ(json::parse(unreachableResult.output)["kind"], "peerUnreachable");
    }
}

TEST(ControlToolTest, reportsListUnreachableEntries)
{
    const FakeEntry entry;
    const auto unreachableEntry = unreachableUrl();
    const auto burn = json::parse(run({"burn", "--json"}, {entry.url(), unreachableEntry, entry.url()}).output);
    EXPECT_EQ(burn["entriesReached"], 2);
    EXPECT_EQ(burn["rows"][0]["windows"]["5m"]["total"], 20);
    EXPECT_EQ(burn["unreached"][0]["entry"], unreachableEntry);
    const auto status = run({"config", "status", "--json"}, {entry.url(), unreachableEntry});
    EXPECT_NE(json::parse(status.output)["unreached"][0]["detail"].get<std::string>().find(unreachableEntry),
              std::string::npos);
}

TEST(ControlToolTest, unknownVmsAndMalformedAnswersAreErrors)
{
    const FakeEntry entry;
    EXPECT_EQ(run({"drain", "vm-x"}, {entry.url()}).code, ExitCode::Failed);
    for (const auto *body : {"", "[]", "{}", R"({"processes":[{}],"history":[1],"series":{},"entry":3})"}) {
        http::TestServer malformedServer(
            [&](const http::HttpExchangePointer &exchange) { exchange->respond(http::jsonResponse(200, body)); });
        for (const auto &arguments :
             std::vector<std::vector<std::string>>{{"config", "history"}, {"config", "status"}, {"status"}, {"burn"}}) {
            EXPECT_EQ(run(arguments, {malformedServer.url("")}).code, ExitCode::Failed) << body << arguments[0];
        }
    }
}

} // namespace lycheelanding::control

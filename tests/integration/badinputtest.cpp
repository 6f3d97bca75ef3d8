// Sends bad input to real processes: each input gets a specific refusal, the processes keep running and other callers
// are not affected.

#include "harness/deployment.h"
#include "rawconnection.h"

#include "lycheelanding/wire/framecodec.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <iterator>
#include <optional>
#include <thread>

namespace lycheelanding::tests {

namespace {

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr std::size_t protocolVersionOffset = 4;

std::string addressOf(const std::string &url)
{
    return url.substr(std::string("http://").size());
}

/// A deployment with another caller in the background, whose requests must succeed whatever the test sends.
class BadInput : public ::testing::Test
{
protected:
    explicit BadInput(std::size_t engines = 0) : m_deployment(plan(engines)) { }

    void SetUp() override
    {
        m_deployment.start();
        m_otherCalls = std::async(std::launch::async, [this] { return callUntilStopped(); });
    }

    void TearDown() override
    {
        m_isStopping = true;
        EXPECT_EQ(m_otherCalls.get(), "");
        EXPECT_GT(m_answered, 0U);
        // Processes that end are not restarted, so an answer at the address of one shows that it has kept running.
        for (const auto &entry : m_deployment.entries()) {
            EXPECT_TRUE(m_deployment.getJson(entry.http + "/status").contains("entry")) << entry.vm;
        }
        for (const auto &side : m_deployment.sides()) {
            EXPECT_TRUE(m_deployment.getJson(side.http + "/status").contains("configurationVersion")) << side.vm;
        }
    }

    std::string entryHttp() { return addressOf(m_deployment.entries()[0].http); }

    std::string exchange(const std::string &address, const std::string &bytes)
    {
        RawConnection connection(address);
        connection.write(bytes);
        return connection.readUntilClosed();
    }

    harness::Deployment m_deployment;

private:
    static harness::DeploymentPlan plan(std::size_t engines)
    {
        harness::DeploymentPlan plan;
        plan.engines = engines;
        plan.entrySettings = {{"readTimeoutMs", 400}};
        return plan;
    }

    /// The error or the body of the first answer without status 200; empty when all calls succeed.
    std::string callUntilStopped()
    {
        do {
            auto request = m_deployment.callerRequest(0, "restorers", "/run/other");
            request.method = "POST";
            request.headers.add("Idempotency-Key", "other-" + std::to_string(m_answered));
            const auto answer = m_deployment.send(std::move(request));
            if (!core::isOk(answer)) {
                return core::errorOf(answer).detail;
            }
            if (core::valueOf(answer).status != statusOk) {
                return core::valueOf(answer).body;
            }
            ++m_answered;
        } while (!m_isStopping);
        return "";
    }

    std::atomic<bool> m_isStopping = false;
    std::atomic<std::size_t> m_answered = 0;
    std::future<std::string> m_otherCalls;
};

class BadInputWithEngine : public BadInput
{
protected:
    BadInputWithEngine() : BadInput(1) { }
};

struct HttpCase
{
    std::string name;
    std::string bytes;
    std::string status;
    std::string kind;
};

std::string post(const std::string &path, const std::string &headers, const std::string &body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::vector<HttpCase> httpCases()
{
    const std::string chat = "/v1/chat/completions";
    const std::string caller = "Organisation: restorers\r\n";
    constexpr std::size_t tooLargeBody = 1'100'000;
    constexpr std::size_t tooLargeHeader = 9000;
    return {
        {"body that is not JSON", post(chat, caller, "{\"model\": "), "400", "malformedRequest"},
        {"body without messages", post(chat, caller, R"({"model": "drafting"})"), "400", "malformedRequest"},
        {"no organisation", post("/run/x", "", "x"), "403", "unknownOrganisation"},
        {"unknown organisation", post("/run/x", "Organisation: nobody\r\n", "x"), "403", "unknownOrganisation"},
        {"unknown path", post("/nowhere", caller, "x"), "404", "unknownRoute"},
        {"oversized body", post("/run/x", caller, std::string(tooLargeBody, 'x')), "413", "requestTooLarge"},
        {"oversized header", post("/run/x", caller + "X-Large: " + std::string(tooLargeHeader, 'x') + "\r\n", "x"),
         "431", "headerTooLarge"},
        {"malformed request line", "nonsense without a method\r\n\r\n", "400", "malformedRequest"},
        {"malformed length", "POST /run/x HTTP/1.1\r\n" + caller + "Content-Length: many\r\n\r\n", "400",
         "malformedRequest"},
    };
}

std::string headerBytes(wire::MessageType type, std::size_t payloadBytes)
{
    wire::Frame frame;
    frame.type = type;
    frame.payload.resize(payloadBytes);
    const auto header = wire::encodeHeader(frame);
    return {header.begin(), header.end()};
}

struct PeerCase
{
    std::string name;
    std::string bytes;
    core::ErrorKind kind;
};

std::vector<PeerCase> peerCases()
{
    constexpr std::size_t payloadBytes = 16;
    const auto hello = headerBytes(wire::MessageType::Hello, payloadBytes);
    auto otherVersion = hello;
    otherVersion[protocolVersionOffset + 1] = static_cast<char>(wire::protocolVersion + 1);
    const auto mismatch = core::ErrorKind::ProtocolMismatch;
    return {
        {"another protocol", "GET /status HTTP/1.1\r\n\r\n", mismatch},
        {"another protocol version", otherVersion, mismatch},
        {"unknown message", headerBytes(static_cast<wire::MessageType>(999), 0), mismatch},
        {"oversized frame", headerBytes(wire::MessageType::Hello, wire::maxPayloadBytes + 1),
         core::ErrorKind::RequestTooLarge},
        {"unreadable hello", hello + std::string(payloadBytes, '\xff'), mismatch},
        {"request before the hello",
         headerBytes(wire::MessageType::RequestStart, payloadBytes) + std::string(payloadBytes, '\0'), mismatch},
    };
}

/// The first Goodbye among the frames in `bytes`.
std::optional<wire::Goodbye> goodbyeIn(std::string bytes)
{
    while (bytes.size() >= wire::frameHeaderBytes) {
        wire::FrameHeaderBytes headerBytes{};
        std::copy_n(bytes.begin(), headerBytes.size(), headerBytes.begin());
        const auto header = wire::decodeHeader(headerBytes);
        if (!core::isOk(header)) {
            return std::nullopt;
        }
        wire::Frame frame;
        frame.type = core::valueOf(header).type;
        frame.payload = bytes.substr(wire::frameHeaderBytes, core::valueOf(header).payloadBytes);
        bytes.erase(0, wire::frameHeaderBytes + frame.payload.size());
        const auto goodbye = wire::messageOf<wire::Goodbye>(frame);
        if (core::isOk(goodbye)) {
            return core::valueOf(goodbye);
        }
    }
    return std::nullopt;
}

} // namespace

TEST_F(BadInput, badRequestsAreRefusedWithStatusAndKind)
{
    for (const auto &test : httpCases()) {
        const auto answer = exchange(entryHttp(), test.bytes);
        EXPECT_EQ(answer.rfind("HTTP/1.1 " + test.status, 0), 0U) << test.name << ": " << answer;
        EXPECT_NE(answer.find("\"kind\":\"" + test.kind + "\""), std::string::npos) << test.name << ": " << answer;
    }
}

TEST_F(BadInput, badFramesGetGoodbyeFromSideAndEntry)
{
    for (const auto &address : {m_deployment.sides()[0].peer, m_deployment.entries()[0].peer}) {
        for (const auto &test : peerCases()) {
            const auto goodbye = goodbyeIn(exchange(address, test.bytes));
            ASSERT_TRUE(goodbye) << test.name;
            EXPECT_EQ(goodbye->kind, test.kind) << test.name << ": " << goodbye->detail;
        }
    }
}

TEST_F(BadInput, incompleteRequestsAreClosedAfterTheReadTimeout)
{
    const auto request = post("/run/half", "Organisation: restorers\r\n", "body");
    for (const auto sent : {std::size_t{0}, std::size_t{10}, request.size() - 1}) {
        EXPECT_NO_THROW(exchange(entryHttp(), request.substr(0, sent))) << sent;
    }
    for (const auto &side : m_deployment.sides()) {
        for (const auto &run : m_deployment.getJson(side.backend + "/journal").at("runs")) {
            EXPECT_NE(run.at("operation"), "half");
        }
    }
}

// One row of another writer in the list of VMs ended every process that read the list.
TEST_F(BadInput, oddRowsOfTheVmListEndNoProcess)
{
    constexpr std::chrono::milliseconds severalListings{1000};
    for (const std::string row : {R"({"address":80})", R"({"state":null})", R"({"role":["backend"]})",
                                  R"({"dataCentre":{"a":1}})", R"({"address":"127.0.0.1:99999"})"}) {
        const auto answer = exchange(addressOf(m_deployment.vmListUrl()),
                                     "PUT /control/vms/odd HTTP/1.1\r\nHost: list\r\nConnection: "
                                     "close\r\nContent-Length: "
                                         + std::to_string(row.size()) + "\r\n\r\n" + row);
        ASSERT_EQ(answer.rfind("HTTP/1.1 200", 0), 0U) << answer;
        std::this_thread::sleep_for(severalListings);
    }
}

// SIGHUP, which a closed terminal or a script for another daemon sends, ended entries and sides without a drain.
TEST_F(BadInput, hangupSignalEndsNoProcess)
{
    for (const auto &entry : m_deployment.entries()) {
        ::kill(entry.process->pid(), SIGHUP);
    }
    for (const auto &side : m_deployment.sides()) {
        ::kill(side.process->pid(), SIGHUP);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
}

TEST_F(BadInputWithEngine, unreadStreamsDoNotBlockOtherCallers)
{
    constexpr std::size_t count = 4; // Leaves capacity below the concurrency limit of the one engine.
    constexpr std::size_t tokens = 2000;
    const auto request = m_deployment.completionRequest(0, "fabricators", "unread", tokens);
    std::vector<std::unique_ptr<RawConnection>> unread;
    for (std::size_t number = 0; number < count; ++number) {
        unread.push_back(std::make_unique<RawConnection>(entryHttp()));
        unread.back()->write(post("/v1/chat/completions", "Organisation: fabricators\r\n", request.body));
    }
    for (const auto &connection : unread) {
        connection->waitForBytes();
    }
    const auto answer = m_deployment.send(m_deployment.completionRequest(0, "restorers", "read", 20));
    ASSERT_TRUE(core::isOk(answer));
    EXPECT_EQ(core::valueOf(answer).status, statusOk) << core::valueOf(answer).body;
    EXPECT_NE(core::valueOf(answer).body.find("[DONE]"), std::string::npos);
}

TEST(BadSettings, checkExitsWithTwoAndOneLine)
{
    struct Case
    {
        std::string name;
        std::optional<std::string> text;
        std::string expectedText;
    };
    const std::string valid = R"("vm": "a", "dataCentre": "d", "peerAddress": "127.0.0.1:0",
        "httpAddress": "127.0.0.1:0", "vmListUrl": "http://127.0.0.1:1", "keyValueUrl": "http://127.0.0.1:1")";
    const auto folder = std::filesystem::path(::testing::TempDir()) / ("settings-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    for (const auto &test : {
             Case{"valid", "{" + valid + "}", ""},
             Case{"nojson", "{\"vm\": ", "nojson"},
             Case{"unknownkey", "{" + valid + R"(, "colour": "red"})", "colour"},
             Case{"badvalue", "{" + valid + R"(, "workers": 0})", "workers"},
             Case{"missingkey", R"({"vm": "a"})", "dataCentre"},
             Case{"missingfile", std::nullopt, "missingfile"},
         }) {
        const auto file = folder / (test.name + ".json");
        const auto log = (folder / (test.name + ".log")).string();
        if (test.text) {
            std::ofstream(file) << *test.text;
        }
        harness::ChildProcess check("lycheelandingd", {"entry", "--settings", file.string(), "--check"}, log);
        EXPECT_EQ(check.waitForExit(std::chrono::seconds(30)), test.expectedText.empty() ? 0 : 2) << test.name;
        std::ifstream stream(log);
        const std::string output{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
        EXPECT_EQ(std::count(output.begin(), output.end(), '\n'), test.expectedText.empty() ? 0 : 1) << output;
        EXPECT_NE(output.find(test.expectedText), std::string::npos) << output;
    }
    std::filesystem::remove_all(folder);
}

} // namespace lycheelanding::tests

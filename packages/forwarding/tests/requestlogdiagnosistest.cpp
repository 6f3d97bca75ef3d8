#include "entrysimulation.h"

#include <gtest/gtest.h>

#include <array>
#include <sstream>

#include <fcntl.h>
#include <unistd.h>

namespace lycheelanding::forwarding {

namespace {

/// Receives the event log of a simulated entry, as a platform receives the standard output of a process.
class LogPipe
{
public:
    LogPipe() { EXPECT_EQ(pipe(m_ends.data()), 0); }
    ~LogPipe()
    {
        close(m_ends[0]);
        close(m_ends[1]);
    }
    LogPipe(const LogPipe &) = delete;
    LogPipe &operator=(const LogPipe &) = delete;

    int descriptor() const { return m_ends[1]; }

    /// Fills the pipe until a write would block.
    void fill() const
    {
        const int flags = fcntl(m_ends[1], F_GETFL);
        fcntl(m_ends[1], F_SETFL, flags | O_NONBLOCK);
        const std::string bytes(4096, 'x');
        while (write(m_ends[1], bytes.data(), bytes.size()) > 0) {
        }
        fcntl(m_ends[1], F_SETFL, flags);
    }

    /// The lines that name the request, which docs/OPERATIONS.md tells operators to look up.
    std::vector<std::string> linesOf(const std::string &request)
    {
        std::array<char, 65536> buffer{};
        const auto size = read(m_ends[0], buffer.data(), buffer.size());
        std::istringstream text(std::string(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0))));
        std::vector<std::string> lines;
        for (std::string line; std::getline(text, line);) {
            if (line.find("\"request\":\"" + request + "\"") != std::string::npos) {
                lines.push_back(line);
            }
        }
        return lines;
    }

private:
    std::array<int, 2> m_ends{};
};

std::string lineOf(const std::vector<std::string> &lines, const std::string &event)
{
    for (const auto &line : lines) {
        if (line.find("\"event\":\"" + event + "\"") != std::string::npos) {
            return line;
        }
    }
    return {};
}

bool contains(const std::string &line, const std::string &part)
{
    return line.find(part) != std::string::npos;
}

/// Value of a number in a log line, as it is written.
std::string numberIn(const std::string &line, const std::string &name)
{
    const auto key = "\"" + name + "\":";
    const auto start = line.find(key);
    return start == std::string::npos
        ? std::string()
        : line.substr(start + key.size(), line.find_first_of(",}", start) - start - key.size());
}

} // namespace

TEST(RequestLogDiagnosis, unreadLogBlocksNoRequest)
{
    LogPipe pipe;
    EntrySimulation simulation(pipe.descriptor());
    pipe.fill();
    simulation.configure(RouteKind::Idempotent);
    simulation.addBackend([](const std::string &) { return ScriptedResponse{backendAnswer("drawn")}; });
    constexpr int requests = 300;
    for (int request = 0; request < requests; ++request) {
        ASSERT_TRUE(simulation.exchange(callerRequest("GET")).starts_with("HTTP/1.1 200 "));
        simulation.log().flush();
    }
}

// The following tests are the walk-throughs of docs/OPERATIONS.md, "from a request's id to its cause".

TEST(RequestLogDiagnosis, refusalLogsThatNoBackendHadCapacity)
{
    LogPipe pipe;
    EntrySimulation simulation(pipe.descriptor());
    simulation.configure(RouteKind::NonIdempotent, std::chrono::milliseconds(200));
    simulation.entry().backendsListed();
    EXPECT_TRUE(simulation.exchange(callerRequest("POST", "fee=1")).starts_with("HTTP/1.1 503 "));
    simulation.log().flush();
    const auto lines = pipe.linesOf("77");
    const auto refused = lineOf(lines, "refused");
    EXPECT_TRUE(contains(refused, "\"reason\":\"overloaded\"")) << refused;
    EXPECT_TRUE(contains(refused, "no backend server could take the request within")) << refused;
    EXPECT_TRUE(contains(lineOf(lines, "requestOver"), "\"attempts\":0"));
}

// A request for which the limit of the only backend server left no turn waited half of its time before it was refused.
TEST(RequestLogDiagnosis, requestBeyondTheStatedLimitIsRefusedWithoutWaiting)
{
    LogPipe pipe;
    EntrySimulation simulation(pipe.descriptor());
    simulation.configure(RouteKind::NonIdempotent, std::chrono::seconds(4));
    simulation.addBackend([](const std::string &) {
        return ScriptedResponse{backendAnswer("few", "Proof: p\r\nAttempt: 77\r\nLimit: 0.001\r\n")};
    });
    ASSERT_TRUE(simulation.exchange(callerRequest("POST", "fee=1")).starts_with("HTTP/1.1 200 "));
    EXPECT_TRUE(simulation.exchange(callerRequest("POST", "fee=1")).starts_with("HTTP/1.1 503 "));
    simulation.log().flush();
    const auto refused = lineOf(pipe.linesOf("77"), "refused");
    EXPECT_TRUE(contains(refused, "the limits of all backend servers are used up")) << refused;
}

// Late answers: waits at the entry could not be told from queues at the engine.
TEST(RequestLogDiagnosis, requestThatWasNeverSentLogsThatItWaitedAllTheTime)
{
    LogPipe pipe;
    EntrySimulation simulation(pipe.descriptor());
    simulation.configure(RouteKind::NonIdempotent, std::chrono::milliseconds(200));
    simulation.entry().backendsListed();
    simulation.exchange(callerRequest("POST", "fee=1"));
    simulation.log().flush();
    const auto requestOver = lineOf(pipe.linesOf("77"), "requestOver");
    EXPECT_FALSE(numberIn(requestOver, "waitedMs").empty()) << requestOver;
    EXPECT_EQ(numberIn(requestOver, "waitedMs"), numberIn(requestOver, "ms")) << requestOver;
}

// An answer that was cut off and passed on as complete could not be told from a complete one.
TEST(RequestLogDiagnosis, answerLogsHowItsEndWasMarked)
{
    LogPipe pipe;
    EntrySimulation simulation(pipe.descriptor());
    simulation.configure(RouteKind::Idempotent);
    simulation.addBackend([](const std::string &) {
        return ScriptedResponse{"HTTP/1.1 200 OK\r\nProof: p\r\nAttempt: 77\r\n\r\nwhole", true};
    });
    EXPECT_TRUE(simulation.exchange(callerRequest("GET")).starts_with("HTTP/1.1 200 "));
    simulation.log().flush();
    const auto requestOver = lineOf(pipe.linesOf("77"), "requestOver");
    EXPECT_TRUE(contains(requestOver, "\"framing\":\"connectionEnd\"")) << requestOver;
}

// Lost attempts with a common part in their prompts could not be told from others.
TEST(RequestLogDiagnosis, retryLogsTheSharedPartsOfThePrompt)
{
    LogPipe pipe;
    EntrySimulation simulation(pipe.descriptor());
    simulation.configure(RouteKind::Stream);
    for (int backend = 0; backend < 2; ++backend) {
        simulation.addBackend([](const std::string &) { return ScriptedResponse{"", true}; });
    }
    simulation.exchange(callerRequest("POST", "prompt", "Parts: 5c1e:800, 91bd:410,e440:250\r\n"));
    simulation.log().flush();
    const auto lines = pipe.linesOf("77");
    EXPECT_TRUE(contains(lineOf(lines, "retry"), "\"promptParts\":\"5c1e 91bd\"")) << lineOf(lines, "retry");
    EXPECT_TRUE(contains(lineOf(lines, "retryDenied"), "\"promptParts\":\"5c1e 91bd\""));
}

// Lost attempts of one request that its caller repeated could not be told from those of others.
TEST(RequestLogDiagnosis, retryLogsADigestThatRepeatsOfTheRequestShare)
{
    const auto digestOf = [](const std::string &request) {
        LogPipe pipe;
        EntrySimulation simulation(pipe.descriptor());
        simulation.configure(RouteKind::Idempotent, std::chrono::milliseconds(500));
        simulation.addBackend([](const std::string &) { return ScriptedResponse{"", true}; });
        simulation.exchange(request);
        simulation.log().flush();
        const auto line = lineOf(pipe.linesOf("77"), "retry");
        const std::string field = "\"digest\":\"";
        const auto begin = line.find(field);
        return begin == std::string::npos ? std::string() : line.substr(begin + field.size(), 16);
    };
    const auto digest = digestOf(callerRequest("POST", "release 7"));
    EXPECT_FALSE(digest.empty());
    EXPECT_EQ(digestOf(callerRequest("POST", "release 7", "Length-Hint: 3\r\n")), digest);
    EXPECT_NE(digestOf(callerRequest("POST", "release 8")), digest);
}

TEST(RequestLogDiagnosis, unknownOutcomeLogsTheBackendAndASingleAttempt)
{
    LogPipe pipe;
    EntrySimulation simulation(pipe.descriptor());
    simulation.configure(RouteKind::NonIdempotent);
    simulation.addBackend([](const std::string &) {
        return ScriptedResponse{"HTTP/1.1 200 OK\r\nProof: p\r\nAttempt: 77\r\nContent-Length: 10\r\n\r\nhalf", true};
    });
    EXPECT_TRUE(simulation.exchange(callerRequest("POST", "fee=1")).starts_with("HTTP/1.1 502 "));
    simulation.log().flush();
    const auto lines = pipe.linesOf("77");
    EXPECT_TRUE(contains(lineOf(lines, "refused"), "the connection ended within the answer"))
        << lineOf(lines, "refused");
    const auto requestOver = lineOf(lines, "requestOver");
    EXPECT_TRUE(contains(requestOver, "\"status\":502")) << requestOver;
    EXPECT_TRUE(contains(requestOver, "\"backend\":\"backend-1\"")) << requestOver;
    EXPECT_TRUE(contains(requestOver, "\"attempts\":1")) << requestOver;
}

TEST(RequestLogDiagnosis, abortedStreamLogsTheConnectionError)
{
    LogPipe pipe;
    EntrySimulation simulation(pipe.descriptor());
    simulation.configure(RouteKind::Stream, std::chrono::seconds(10), 2, false);
    simulation.addBackend([](const std::string &) {
        return ScriptedResponse{
            "HTTP/1.1 200 OK\r\nProof: p\r\nAttempt: 77\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nid: 1\r\n", true};
    });
    simulation.exchange(callerRequest("POST", "prompt"));
    simulation.log().flush();
    const auto lines = pipe.linesOf("77");
    const auto broken = lineOf(lines, "answerBroken");
    EXPECT_TRUE(contains(broken, "\"reason\":\"backendServerLost\"")) << broken;
    EXPECT_TRUE(contains(broken, "the connection ended within the answer")) << broken;
    EXPECT_TRUE(contains(lineOf(lines, "requestOver"), "\"outcome\":\"broken\""));
}

TEST(RequestLogDiagnosis, brokenAnswerLogsItsTimeLimitAndWhyItWasNotRetried)
{
    LogPipe pipe;
    EntrySimulation simulation(pipe.descriptor());
    simulation.configure(RouteKind::Stream, std::chrono::seconds(7), 1);
    simulation.addBackend([](const std::string &) {
        return ScriptedResponse{"HTTP/1.1 200 OK\r\nProof: p\r\nAttempt: 77\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "11\r\nid: 1\ndata: one\n\n\r\n",
                                true};
    });
    simulation.exchange(callerRequest("POST", "prompt"));
    simulation.log().flush();
    const auto lines = pipe.linesOf("77");
    const auto denied = lineOf(lines, "retryDenied");
    EXPECT_TRUE(contains(denied, "\"why\":\"attemptsUsed\"")) << denied;
    EXPECT_TRUE(contains(denied, "\"backend\":\"backend-1\"")) << denied;
    const auto broken = lineOf(lines, "answerBroken");
    EXPECT_TRUE(contains(broken, "\"timeLimitMs\":7000,\"timeLimitOf\":\"route\"")) << broken;
    EXPECT_TRUE(contains(broken, "\"configuration\":1")) << broken;
    EXPECT_TRUE(contains(broken, "\"sinceEventMs\":")) << broken;
}

} // namespace lycheelanding::forwarding

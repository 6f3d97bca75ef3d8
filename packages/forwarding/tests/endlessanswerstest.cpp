#include "endlesspeer.h"
#include "entrysimulation.h"

#include <gtest/gtest.h>

#include <fstream>
#include <unistd.h>

namespace lycheelanding::forwarding {

namespace {

using namespace std::chrono_literals;

const std::string head = "HTTP/1.1 200 OK\r\nProof: p\r\nAttempt: 77\r\n";
const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string eventStream = head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string firstEvents = "f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n";
/// What one exchange may take before the entry ends it: its limits, and what the sockets hold.
constexpr std::size_t maxTakenBytes = 8UL * 1024 * 1024;

std::vector<EndlessAnswer> fullSpeedAnswers()
{
    return {
        {"empty lines", "", "\r\n"},
        {"status line", "HTTP/1.1 200 ", "O"},
        {"head of one field", head + "Long: ", "x"},
        {"head of many fields", head, "Field: x\r\n"},
        {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"answers to other requests", "", "HTTP/1.1 200 OK\r\nAttempt: 12\r\nContent-Length: 2\r\n\r\nab"},
        {"body of another request's answer", "HTTP/1.1 200 OK\r\nAttempt: 12\r\nTransfer-Encoding: chunked\r\n\r\n",
         "4\r\nabcd\r\n"},
        {"body of an answer without proof", "HTTP/1.1 200 OK\r\nAttempt: 77\r\nTransfer-Encoding: chunked\r\n\r\n",
         "4\r\nabcd\r\n"},
        {"chunk size", chunked, "0"},
        {"chunk extension", chunked + "4;a=", "x"},
        {"tiny chunks with extensions", chunked, "1;extension=that-is-much-longer-than-its-chunk\r\nx\r\n"},
        {"trailer of one field", chunked + "2\r\nab\r\n0\r\nLong: ", "x"},
        {"trailer of many fields", chunked + "2\r\nab\r\n0\r\n", "Field: x\r\n"},
    };
}

std::vector<EndlessAnswer> fullSpeedStreams()
{
    return {
        {"event without an end", eventStream + firstEvents + "ffffffff\r\nid: 3\ndata: ", "x"},
        {"event of many lines", eventStream + firstEvents, "8\r\ndata: x\n\r\n"},
        {"comments", eventStream + firstEvents, "4\r\n: x\n\r\n"},
        {"the same event", eventStream + firstEvents, "f\r\nid: 2\ndata: b\n\n\r\n"},
    };
}

struct EndlessSimulation
{
    EndlessSimulation(const EndlessAnswer &answer, RouteKind kind) : peer(simulation.context(), answer)
    {
        simulation.configure(kind, 60s);
        simulation.addAddress("endless", peer.address());
    }

    /// The caller's answer once both it and the backend server's connection have ended.
    std::string play(const std::string &request)
    {
        auto socket = simulation.connect();
        asio::write(socket, asio::buffer(request));
        std::string answer;
        bool isFinished = false;
        asio::async_read(socket, asio::dynamic_buffer(answer),
                         [&isFinished](const auto &, auto) { isFinished = true; });
        const auto next = [this] { return peer.requests >= 1; };
        simulation.runUntil(next);
        simulation.addBackend([](const std::string &received) {
            const bool isResumed = received.find("Last-Event-ID: 2") != std::string::npos;
            return ScriptedResponse{isResumed ? eventStream + "f\r\nid: 3\ndata: c\n\n\r\n0\r\n\r\n"
                                              : backendAnswer("sound")};
        });
        hasEnded = simulation.runUntil([&] {
            return (isFinished && peer.closedConnections >= peer.requests) || peer.sentBytes > 4 * maxTakenBytes;
        });
        return answer;
    }

    EntrySimulation simulation;
    EndlessPeer peer;
    bool hasEnded = false;
};

std::size_t residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    std::size_t pages = 0;
    statm >> pages >> pages;
    return pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace

// Bytes that are no answer kept an exchange and the processor busy until the time of the request had passed.
TEST(EndlessAnswers, endAtALimitAndTheRequestGoesElsewhere)
{
    for (const auto &answer : fullSpeedAnswers()) {
        EndlessSimulation entry(answer, RouteKind::Idempotent);
        const auto received = entry.play(callerRequest("GET"));
        EXPECT_LE(entry.peer.sentBytes, maxTakenBytes) << answer.name;
        EXPECT_EQ(entry.peer.closedConnections, entry.peer.requests) << answer.name;
        EXPECT_TRUE(received.ends_with("sound")) << answer.name << ": " << received.substr(0, 200);
    }
}

// The same for a request that may run once at most: it may have run.
TEST(EndlessAnswers, nonIdempotentRequestIsNotSentAgain)
{
    for (const auto &answer : fullSpeedAnswers()) {
        EndlessSimulation entry(answer, RouteKind::NonIdempotent);
        const auto received = entry.play(callerRequest("POST", "release"));
        EXPECT_LE(entry.peer.sentBytes, maxTakenBytes) << answer.name;
        EXPECT_TRUE(received.starts_with("HTTP/1.1 502 ")) << answer.name << ": " << received.substr(0, 200);
        EXPECT_NE(received.find("\"ran\":\"unknown\""), std::string::npos) << answer.name;
    }
}

// The body of a refusal was read until the time of the request had passed.
TEST(EndlessAnswers, refusalWithoutEndSendsTheRequestElsewhere)
{
    for (const std::string status : {"503 Service Unavailable\r\nNot-Run: 1", "421 Misdirected Request"}) {
        const EndlessAnswer refusal{
            status, "HTTP/1.1 " + status + "\r\nAttempt: 77\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"};
        EndlessSimulation entry(refusal, RouteKind::NonIdempotent);
        const auto received = entry.play(callerRequest("POST", "release"));
        EXPECT_LE(entry.peer.sentBytes, maxTakenBytes) << status;
        EXPECT_TRUE(received.ends_with("sound")) << status << ": " << received.substr(0, 200);
    }
}

// An event without its empty line was kept in memory, all of it.
TEST(EndlessAnswers, streamWithoutFurtherEventsIsResumedElsewhere)
{
    for (const auto &answer : fullSpeedStreams()) {
        EndlessSimulation entry(answer, RouteKind::Stream);
        const auto received = entry.play(callerRequest("POST", "prompt"));
        EXPECT_LE(entry.peer.sentBytes, maxTakenBytes) << answer.name;
        EXPECT_EQ(entry.peer.closedConnections, entry.peer.requests) << answer.name;
        EXPECT_NE(received.find("data: c"), std::string::npos) << answer.name << ": " << received.substr(0, 300);
    }
}

// A byte now and then counted as progress, so that such a stream went on until its caller gave up.
TEST(EndlessAnswers, streamThatSendsAByteNowAndThenIsResumedElsewhere)
{
    for (auto answer : fullSpeedStreams()) {
        answer.interval = 10ms;
        EndlessSimulation entry(answer, RouteKind::Stream);
        const auto received = entry.play(callerRequest("POST", "prompt"));
        EXPECT_NE(received.find("data: c"), std::string::npos) << answer.name << ": " << received.substr(0, 300);
        EXPECT_EQ(entry.peer.closedConnections, entry.peer.requests) << answer.name;
    }
}

// A head that comes a byte now and then held its request until its time had passed.
TEST(EndlessAnswers, headThatComesAByteNowAndThenEndsAtATimeLimit)
{
    for (auto answer : fullSpeedAnswers()) {
        if (answer.beginning.find("\r\n\r\n") != std::string::npos || answer.beginning.empty()) {
            continue;
        }
        answer.interval = 10ms;
        EndlessSimulation entry(answer, RouteKind::Idempotent);
        const auto received = entry.play(callerRequest("GET"));
        EXPECT_TRUE(received.ends_with("sound")) << answer.name << ": " << received.substr(0, 200);
    }
}

// A hundred such answers at once took the memory of the entry's VM.
TEST(EndlessAnswers, hundredAtOnceTakeBoundedMemory)
{
    constexpr std::size_t exchanges = 100;
    constexpr std::size_t maxBytesOfAnExchange = 1024UL * 1024;
    const EndlessAnswer answer{"event without an end", eventStream + firstEvents + "ffffffff\r\nid: 3\ndata: ", "x"};
    EndlessSimulation entry(answer, RouteKind::Stream);
    const auto before = residentBytes();
    std::vector<asio::ip::tcp::socket> callers;
    for (std::size_t caller = 0; caller < exchanges; ++caller) {
        callers.push_back(entry.simulation.connect());
        asio::write(callers.back(), asio::buffer(callerRequest("POST", "prompt")));
    }
    std::size_t peak = 0;
    const auto isOver = [&] {
        peak = std::max(peak, residentBytes());
        return entry.peer.closedConnections >= static_cast<int>(exchanges)
            || peak > before + 2 * exchanges * maxBytesOfAnExchange;
    };
    constexpr int maxTurns = 100;
    for (int turn = 0; turn < maxTurns && !entry.simulation.runUntil(isOver); ++turn) {
    }
    EXPECT_EQ(entry.peer.closedConnections, static_cast<int>(exchanges));
    EXPECT_LE(peak - std::min(peak, before), exchanges * maxBytesOfAnExchange);
}

} // namespace lycheelanding::forwarding

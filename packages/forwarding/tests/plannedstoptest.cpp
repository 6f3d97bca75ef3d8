#include "entrysimulation.h"

#include <asio/steady_timer.hpp>

#include <gtest/gtest.h>

#include <array>

namespace lycheelanding::forwarding {

namespace {

using namespace std::chrono_literals;

/// A stop while a request is in progress, and what its caller gets.
struct StoppedEntry
{
    explicit StoppedEntry(RouteKind kind, std::chrono::milliseconds timeout = 100ms)
        : simulation(-1, false, {10ms, timeout}, std::make_shared<http::CallerMemory>(accountSettings()))
    {
        simulation.configure(kind, 60s);
    }

    static decisions::admission::MemoryAccountSettings accountSettings()
    {
        constexpr std::size_t vmBytes = 256UL * 1024 * 1024;
        return {decisions::admission::memorySharesOf(vmBytes, CallerLimits().maxBodyBytes)};
    }

    std::string answerTo(const std::string &request, const std::function<bool()> &isReady)
    {
        auto socket = simulation.connect();
        asio::write(socket, asio::buffer(request));
        EXPECT_TRUE(simulation.runUntil(isReady));
        return stop(socket);
    }

    /// What the caller on the connection has received when the entry may exit.
    std::string stop(asio::ip::tcp::socket &socket)
    {
        std::string answer;
        bool isClosed = false;
        asio::async_read(socket, asio::dynamic_buffer(answer), [&](const auto &, auto) {
            isClosed = true;
            socket.close();
        });
        bool hasStopped = false;
        simulation.entry().stop([&hasStopped] { hasStopped = true; });
        EXPECT_TRUE(simulation.runUntil([&hasStopped] { return hasStopped; }));
        if (!isClosed) {
            socket.cancel();
            EXPECT_TRUE(simulation.runUntil([&isClosed] { return isClosed; }));
        }
        return answer;
    }

    EntrySimulation simulation;
};

} // namespace

// Requests that waited in an entry for a place ended with it, without an answer, at the end of a planned stop. Their
// callers could not know that they had not run.
TEST(PlannedStop, requestThatWaitsForAPlaceIsRefusedAsNotRun)
{
    StoppedEntry entry(RouteKind::NonIdempotent);
    entry.simulation.slotsOfNewBackends = 1;
    auto &backend = entry.simulation.addBackend([](const std::string &) { return ScriptedResponse{}; });
    // An entry sends two requests to a backend server of one slot whose load it does not know.
    std::array<asio::ip::tcp::socket, 2> running{entry.simulation.connect(), entry.simulation.connect()};
    for (auto &caller : running) {
        asio::write(caller, asio::buffer(callerRequest("POST", "fee=1")));
    }
    ASSERT_TRUE(entry.simulation.runUntil([&backend] { return backend.requests.size() == 2; }));
    const auto isReceived
        = [&entry] { return entry.simulation.entry().metrics().value(report::Counter::RequestsReceived) == 3; };
    const auto answer = entry.answerTo(callerRequest("POST", "fee=1"), isReceived);
    EXPECT_EQ(backend.requests.size(), 2U);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
    EXPECT_NE(answer.find("Retry-After: "), std::string::npos) << answer;
    EXPECT_NE(answer.find("\"ran\":\"no\""), std::string::npos) << answer;
}

// A request at a backend server at the end of a planned stop was cut off without an answer.
TEST(PlannedStop, requestWithoutAnAnswerAtTheEndIsAnsweredAsPossiblyRun)
{
    for (const auto kind : {RouteKind::NonIdempotent, RouteKind::Idempotent, RouteKind::Stream}) {
        StoppedEntry entry(kind);
        auto &backend = entry.simulation.addBackend([](const std::string &) { return ScriptedResponse{}; });
        const auto answer
            = entry.answerTo(callerRequest("POST", "fee=1"), [&backend] { return !backend.requests.empty(); });
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 502 ")) << answer;
        EXPECT_NE(answer.find("\"ran\":\"unknown\""), std::string::npos) << answer;
    }
}

// A request that its backend server refused late in a planned stop was sent to another one, which ran it; the process
// ended before the answer came.
TEST(PlannedStop, requestRefusedByItsBackendLateIsNotSentToAnother)
{
    StoppedEntry entry(RouteKind::NonIdempotent, 2000ms);
    std::size_t sent = 0;
    const auto refuseLate = [&sent](const std::string &) {
        ++sent;
        ScriptedResponse response;
        response.delayedBytes = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
        // Between the end of sending and that of the stop.
        response.delay = 1500ms;
        return response;
    };
    entry.simulation.addBackend(refuseLate);
    entry.simulation.addBackend(refuseLate);
    const auto answer = entry.answerTo(callerRequest("POST", "fee=1"), [&sent] { return sent == 1; });
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
    EXPECT_EQ(sent, 1U);
}

// The process ended 300 ms after the backend servers had given their answers, while callers still read them.
TEST(PlannedStop, answerThatItsCallerReadsSlowlyIsNotCutOff)
{
    StoppedEntry entry(RouteKind::NonIdempotent, 20s);
    // More than the buffers of the sockets hold and less than an entry keeps for a caller.
    const std::string body(3UL * 1024 * 1024, 'x');
    entry.simulation.addBackend([&body](const std::string &) { return ScriptedResponse{backendAnswer(body)}; });
    asio::ip::tcp::socket socket(entry.simulation.context());
    socket.open(asio::ip::tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(4096));
    socket.connect({asio::ip::make_address("127.0.0.1"), entry.simulation.entry().callerPort()});
    asio::write(socket, asio::buffer(callerRequest("POST", "fee=1")));
    const auto isAnswered
        = [&entry] { return entry.simulation.entry().metrics().value(report::Counter::RequestsAnswered) == 1; };
    EXPECT_TRUE(entry.simulation.runUntil(isAnswered));
    bool hasStopped = false;
    entry.simulation.entry().stop([&hasStopped] { hasStopped = true; });
    // The caller pauses for longer than the flush of 300 ms.
    asio::steady_timer pause(entry.simulation.context(), 1s);
    bool isOver = false;
    pause.async_wait([&isOver](const auto &) { isOver = true; });
    EXPECT_TRUE(entry.simulation.runUntil([&isOver] { return isOver; }));
    EXPECT_FALSE(hasStopped);
    EXPECT_TRUE(entry.simulation.receiveAll(socket).ends_with(body));
    socket.close();
    EXPECT_TRUE(entry.simulation.runUntil([&hasStopped] { return hasStopped; }));
}

// A request that its caller had sent behind another one ended without an answer when a stop closed the connection.
TEST(PlannedStop, nextRequestOnTheConnectionGetsItsAnswer)
{
    StoppedEntry entry(RouteKind::NonIdempotent);
    ScriptedResponse late;
    late.delayedBytes = backendAnswer("ran");
    late.delay = 50ms;
    auto &backend = entry.simulation.addBackend([&late](const std::string &) { return late; });
    auto socket = entry.simulation.connect();
    auto first = callerRequest("POST", "fee=1");
    first.erase(first.find("Connection: close\r\n"), std::string("Connection: close\r\n").size());
    asio::write(socket, asio::buffer(first + callerRequest("POST", "fee=2")));
    ASSERT_TRUE(entry.simulation.runUntil([&backend] { return backend.requests.size() == 1; }));
    const auto answers = entry.stop(socket);
    EXPECT_TRUE(answers.starts_with("HTTP/1.1 200 ")) << answers;
    EXPECT_NE(answers.find("HTTP/1.1 503 "), std::string::npos) << answers;
}

} // namespace lycheelanding::forwarding

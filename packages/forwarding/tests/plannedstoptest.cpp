#include "entrysimulation.h"

#include <gtest/gtest.h>

#include <array>

namespace lycheelanding::forwarding {

namespace {

using namespace std::chrono_literals;

/// A stop while a request is in progress, and what its caller gets.
struct StoppedEntry
{
    explicit StoppedEntry(RouteKind kind, std::chrono::milliseconds timeout = 100ms)
        : simulation(-1, false, {10ms, timeout})
    {
        simulation.configure(kind, 60s);
    }

    std::string answerTo(const std::string &request, const std::function<bool()> &isReady)
    {
        auto socket = simulation.connect();
        asio::write(socket, asio::buffer(request));
        EXPECT_TRUE(simulation.runUntil(isReady));
        simulation.entry().stop([this] { hasStopped = true; });
        auto answer = simulation.receiveAll(socket);
        EXPECT_TRUE(simulation.runUntil([this] { return hasStopped; }));
        return answer;
    }

    EntrySimulation simulation;
    bool hasStopped = false;
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

} // namespace lycheelanding::forwarding

#include "entrysimulation.h"

#include <gtest/gtest.h>

namespace lycheelanding::forwarding {

namespace {

constexpr int requestCount = 10;

/// Two backend servers; the answers of the one that gets the first request say that it leaves. Its registration stays.
struct LeavingSimulation
{
    explicit LeavingSimulation(const std::string &answer)
    {
        simulation.configure(RouteKind::Idempotent);
        for (int number = 1; number <= 2; ++number) {
            simulation.addBackend([this, answer, number](const std::string &) {
                leaving = leaving == 0 ? number : leaving;
                leavingRequests += leaving == number ? 1 : 0;
                return ScriptedResponse{leaving == number ? answer : backendAnswer("sound")};
            });
        }
        for (int request = 0; request < requestCount; ++request) {
            lastAnswer = simulation.exchange(callerRequest("GET"));
        }
    }

    EntrySimulation simulation;
    int leaving = 0;
    int leavingRequests = 0;
    std::string lastAnswer;
};

} // namespace

// A backend server that leaves goes on answering for seconds, and may end with the requests that are sent to it then.
TEST(LeavingBackends, backendThatSaysInAnAnswerThatItLeavesGetsNoFurtherRequest)
{
    const std::string fields = "Proof: p\r\nAttempt: 77\r\nLeaving: 1\r\n";
    for (const auto &answer :
         {backendAnswer("last", fields),
          "HTTP/1.1 500 Internal Server Error\r\n" + fields + "Content-Length: 0\r\n\r\n",
          "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + fields + "Content-Length: 0\r\n\r\n"}) {
        const LeavingSimulation entry(answer);
        EXPECT_EQ(entry.leavingRequests, 1) << answer;
        EXPECT_TRUE(entry.lastAnswer.starts_with("HTTP/1.1 200 ")) << entry.lastAnswer;
    }
}

// A request had chosen its backend server and waited for a connection when the entry learnt that the backend server
// leaves. It was sent all the same, seconds later where connections open slowly.
TEST(LeavingBackends, chosenBackendThatLeavesBeforeItsConnectionIsOpenGetsNoRequest)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::NonIdempotent);
    auto &first = simulation.addBackend([](const std::string &) { return ScriptedResponse{backendAnswer("first")}; });
    auto socket = simulation.sendUntilConnecting(callerRequest("POST", "release"));
    auto &second = simulation.addBackend([](const std::string &) { return ScriptedResponse{backendAnswer("second")}; });
    simulation.removeBackend(1);
    const auto answer = simulation.receiveAll(socket);
    EXPECT_TRUE(first.requests.empty());
    EXPECT_EQ(second.requests.size(), 1U);
    EXPECT_TRUE(answer.ends_with("second")) << answer;
}

// Another backend server has the address and speaks of itself.
TEST(LeavingBackends, misdirectedAnswerSaysNothingOfTheExpectedBackend)
{
    const LeavingSimulation entry("HTTP/1.1 421 Misdirected Request\r\nAttempt: 77\r\nLeaving: 1\r\n"
                                  "Content-Length: 0\r\n\r\n");
    EXPECT_TRUE(entry.simulation.reportedLeaving.empty());
}

} // namespace lycheelanding::forwarding

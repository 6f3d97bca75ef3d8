#include "entrysimulation.h"

#include <gtest/gtest.h>

namespace lycheelanding::forwarding {

namespace {

bool hasStatus(const std::string &answer, int status)
{
    return answer.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

FakeBackend::Script always(const ScriptedResponse &response)
{
    return [response](const std::string &) { return response; };
}

const ScriptedResponse notRun{"HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"};

} // namespace

TEST(HostileBackend, completeAnswerIsForwardedUnchanged)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::NonIdempotent);
    auto &backend = simulation.addBackend(always({backendAnswer("booked")}));
    const auto answer = simulation.exchange(callerRequest("POST", "fee=1"));
    EXPECT_TRUE(hasStatus(answer, 200)) << answer;
    EXPECT_NE(answer.find("Proof: p\r\n"), std::string::npos);
    EXPECT_TRUE(answer.ends_with("\r\n\r\nbooked"));
    ASSERT_EQ(backend.requests.size(), 1U);
    const auto &request = backend.requests.front();
    EXPECT_TRUE(request.starts_with("POST /x/1 HTTP/1.1\r\n"));
    EXPECT_TRUE(request.ends_with("\r\n\r\nfee=1"));
    EXPECT_EQ(request.find("secret"), std::string::npos);
    EXPECT_NE(request.find("Organisation: club\r\n"), std::string::npos);
    EXPECT_NE(request.find("Expected: backend-1\r\n"), std::string::npos);
}

TEST(HostileBackend, nonIdempotentRequestIsNotRetriedAfterATruncatedAnswer)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::NonIdempotent);
    const ScriptedResponse truncated{"HTTP/1.1 200 OK\r\nProof: p\r\nContent-Length: 10\r\n\r\nhalf", true};
    auto &first = simulation.addBackend(always(truncated));
    auto &second = simulation.addBackend(always(truncated));
    EXPECT_TRUE(hasStatus(simulation.exchange(callerRequest("POST", "fee=1")), 502));
    EXPECT_EQ(first.requests.size() + second.requests.size(), 1U);
}

TEST(HostileBackend, idempotentRequestIsRetriedAfterATruncatedAnswerAndReset)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::Idempotent);
    int runs = 0;
    const auto script = [&runs](const std::string &) {
        return ++runs == 1 ? ScriptedResponse{"HTTP/1.1 200 OK\r\nProof: p\r\n\r\nhalf", false, true}
                           : ScriptedResponse{backendAnswer("drawn")};
    };
    simulation.addBackend(script);
    simulation.addBackend(script);
    EXPECT_TRUE(simulation.exchange(callerRequest("GET")).ends_with("\r\n\r\ndrawn"));
    EXPECT_EQ(runs, 2);
}

TEST(HostileBackend, nonIdempotentRequestIsRetriedAfterANotRunRefusal)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::NonIdempotent);
    int requestCount = 0;
    const auto script = [&requestCount](const std::string &) {
        return ++requestCount == 1 ? notRun : ScriptedResponse{backendAnswer("ok")};
    };
    simulation.addBackend(script);
    simulation.addBackend(script);
    EXPECT_TRUE(hasStatus(simulation.exchange(callerRequest("POST", "fee=1")), 200));
    EXPECT_EQ(requestCount, 2);
}

TEST(HostileBackend, notRunStatusWithoutTheNotRunFieldBecomesA502)
{
    for (const int status : {408, 429, 503}) {
        EntrySimulation simulation;
        simulation.configure(RouteKind::NonIdempotent);
        simulation.addBackend(always({"HTTP/1.1 " + std::to_string(status) + " Odd\r\nContent-Length: 0\r\n\r\n"}));
        EXPECT_TRUE(hasStatus(simulation.exchange(callerRequest("POST", "fee=1")), 502)) << status;
    }
}

TEST(HostileBackend, successWithoutProofOrWithAnEncodingIsNotForwarded)
{
    for (const char *fields : {"Attempt: 77\r\n", "Proof: p\r\nContent-Encoding: gzip\r\n"}) {
        EntrySimulation simulation;
        simulation.configure(RouteKind::NonIdempotent);
        simulation.addBackend(always({backendAnswer("odd", fields)}));
        EXPECT_TRUE(hasStatus(simulation.exchange(callerRequest("POST", "fee=1")), 502)) << fields;
    }
}

TEST(HostileBackend, lateAnswerToAnotherRequestIsSkipped)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::NonIdempotent);
    auto &backend = simulation.addBackend(
        always({backendAnswer("not yours", "Proof: p\r\nAttempt: 76\r\n") + backendAnswer("yours")}));
    EXPECT_TRUE(simulation.exchange(callerRequest("POST", "fee=1")).ends_with("\r\n\r\nyours"));
    EXPECT_TRUE(simulation.exchange(callerRequest("POST", "fee=1")).ends_with("\r\n\r\nyours"));
    // A connection that delivered more than the answer is not reused.
    EXPECT_EQ(backend.connectionCount(), 2U);
}

// A faulty backend server wrote an earlier refusal once more, without the name of a request, when the next request on
// the connection had arrived. It was taken as the answer to that request: the request ran and its caller was told that
// it had not, or it ran at a second backend server too.
TEST(HostileBackend, refusalThatNamesNoRequestIsSkippedOnAReusedConnection)
{
    for (const std::string refusal :
         {"HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRetry-After: 600\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 429 Too Many Requests\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 503 Service Unavailable\r\nLeaving: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"}) {
        EntrySimulation simulation;
        simulation.configure(RouteKind::NonIdempotent);
        bool isFaulty = false;
        int requestCount = 0;
        const auto script = [&](const std::string &) {
            ++requestCount;
            return ScriptedResponse{(isFaulty ? refusal : "") + backendAnswer("ran")};
        };
        const std::array backends{&simulation.addBackend(script), &simulation.addBackend(script)};
        const auto connectionCount
            = [&backends] { return backends[0]->connectionCount() + backends[1]->connectionCount(); };
        for (int number = 0; number < 20 && connectionCount() < backends.size(); ++number) {
            simulation.exchange(callerRequest("POST", "fee=1"));
        }
        ASSERT_EQ(connectionCount(), backends.size());
        isFaulty = true;
        requestCount = 0;
        EXPECT_TRUE(simulation.exchange(callerRequest("POST", "fee=1")).ends_with("\r\n\r\nran")) << refusal;
        EXPECT_EQ(requestCount, 1) << refusal;
        EXPECT_TRUE(simulation.reportedLeaving.empty()) << refusal;
    }
}

// Answers that name no request cannot be told apart from copies of earlier ones.
TEST(HostileBackend, connectionWhoseAnswerNamesNoRequestIsNotReused)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::Idempotent);
    auto &backend = simulation.addBackend(always({backendAnswer("ok", "Proof: p\r\n")}));
    for (int number = 0; number < 3; ++number) {
        EXPECT_TRUE(hasStatus(simulation.exchange(callerRequest("GET")), 200));
    }
    EXPECT_EQ(backend.connectionCount(), 3U);
}

TEST(HostileBackend, extraAnswerIsDiscarded)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::Idempotent);
    auto &backend = simulation.addBackend(always({backendAnswer("first") + backendAnswer("extra")}));
    EXPECT_TRUE(simulation.exchange(callerRequest("GET")).ends_with("\r\n\r\nfirst"));
    EXPECT_TRUE(simulation.exchange(callerRequest("GET")).ends_with("\r\n\r\nfirst"));
    EXPECT_EQ(backend.connectionCount(), 2U);
}

// Of a failure with a long body the caller got the first part, framed as a whole answer.
TEST(HostileBackend, longFailureIsPassedOnWholeOrEndsVisibly)
{
    const std::string body(200'000, 'x');
    const std::string head = "HTTP/1.1 500 Internal Server Error\r\nProof: p\r\nAttempt: 77\r\n";
    const auto withLength = head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    for (const auto kind : {RouteKind::NonIdempotent, RouteKind::Idempotent, RouteKind::Stream}) {
        for (const bool isCutOff : {false, true}) {
            EntrySimulation simulation;
            simulation.configure(kind);
            const auto sent = body.substr(0, isCutOff ? body.size() / 2 : body.size());
            simulation.addBackend(always({withLength + sent, true}));
            const auto answer = simulation.exchange(callerRequest("POST", "fee=1"));
            EXPECT_TRUE(hasStatus(answer, 500)) << answer.substr(0, 200);
            EXPECT_NE(answer.find("Content-Length: 200000\r\n"), std::string::npos) << answer.substr(0, 200);
            EXPECT_EQ(answer.ends_with("\r\n\r\n" + body), !isCutOff) << answer.size();
        }
        EntrySimulation simulation;
        simulation.configure(kind);
        auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n30d40\r\n";
        chunked.append(body).append("\r\n");
        simulation.addBackend(always({chunked, true}));
        const auto answer = simulation.exchange(callerRequest("POST", "fee=1"));
        EXPECT_TRUE(hasStatus(answer, 500)) << answer.substr(0, 200);
        EXPECT_FALSE(answer.ends_with("0\r\n\r\n"));
    }
}

TEST(HostileBackend, idleConnectionIsReused)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::Idempotent);
    auto &backend = simulation.addBackend(always({backendAnswer("ok")}));
    for (int number = 0; number < 3; ++number) {
        EXPECT_TRUE(hasStatus(simulation.exchange(callerRequest("GET")), 200));
    }
    EXPECT_EQ(backend.connectionCount(), 1U);
}

TEST(HostileBackend, answerWithoutALengthEndsWhenTheConnectionCloses)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::NonIdempotent);
    simulation.addBackend(always({"HTTP/1.1 200 OK\r\nProof: p\r\n\r\nall of it", true}));
    EXPECT_NE(simulation.exchange(callerRequest("POST", "fee=1")).find("all of it"), std::string::npos);
}

TEST(HostileBackend, malformedAnswerDoesNotReachTheCaller)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::NonIdempotent);
    simulation.addBackend(always({"garbage garbage\r\n\r\n"}));
    const auto answer = simulation.exchange(callerRequest("POST", "fee=1"));
    EXPECT_TRUE(hasStatus(answer, 502));
    EXPECT_EQ(answer.find("garbage"), std::string::npos);
}

TEST(HostileBackend, requestToAnUnresponsiveBackendEndsAtTheRoutesTimeout)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::NonIdempotent, std::chrono::milliseconds(60));
    auto &backend = simulation.addBackend(always({""}));
    EXPECT_TRUE(hasStatus(simulation.exchange(callerRequest("POST", "fee=1")), 504));
    EXPECT_EQ(backend.requests.size(), 1U);
}

TEST(HostileBackend, misdirectedBackendGetsNoFurtherRequests)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::NonIdempotent);
    auto &misdirected = simulation.addBackend(always({"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"}));
    simulation.addBackend(always({backendAnswer("ok")}));
    for (int number = 0; number < 4; ++number) {
        EXPECT_TRUE(hasStatus(simulation.exchange(callerRequest("POST", "fee=1")), 200));
    }
    EXPECT_LE(misdirected.requests.size(), 1U);
}

TEST(HostileCaller, disconnectCancelsTheRequestAtTheBackend)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::NonIdempotent);
    auto &backend = simulation.addBackend(always({""}));
    {
        auto caller = simulation.connect();
        asio::write(caller, asio::buffer(callerRequest("POST", "fee=1")));
        ASSERT_TRUE(simulation.runUntil([&backend] { return backend.requests.size() == 1; }));
    }
    EXPECT_TRUE(simulation.runUntil([&backend] { return backend.endedConnections == 1; }));
}

// An unread request at a suspended VM must not run there after the VM resumes, when its caller has left: a reset
// discards the data that the receiver has not read yet, whereas an ordinary close is only queued behind that data.
TEST(HostileCaller, disconnectResetsTheConnectionToTheBackend)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::Stream);
    auto &backend = simulation.addBackend(always({""}));
    {
        auto caller = simulation.connect();
        asio::write(caller, asio::buffer(callerRequest("POST", "draft")));
        ASSERT_TRUE(simulation.runUntil([&backend] { return backend.requests.size() == 1; }));
    }
    ASSERT_TRUE(simulation.runUntil([&backend] { return backend.endedConnections == 1; }));
    EXPECT_EQ(backend.lastEnd, asio::error::connection_reset);
}

// The failure of a caller that does not read was ascribed to the backend server: the stream was sent to another one,
// where it failed in the same way.
TEST(HostileCaller, streamOfACallerThatDoesNotReadIsNotRetried)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::Stream);
    std::string events = "HTTP/1.1 200 OK\r\nProof: p\r\nAttempt: 77\r\n\r\n";
    // More than the socket buffers hold.
    constexpr int eventCount = 400;
    constexpr std::size_t eventBytes = 64UL * 1024;
    for (int id = 1; id <= eventCount; ++id) {
        events += "id: " + std::to_string(id) + "\ndata: " + std::string(eventBytes, 'x') + "\n\n";
    }
    int requestCount = 0;
    const auto script = [&requestCount, &events](const std::string &) {
        ++requestCount;
        return ScriptedResponse{events};
    };
    const std::array backends{&simulation.addBackend(script), &simulation.addBackend(script)};
    auto caller = simulation.connect();
    asio::write(caller, asio::buffer(callerRequest("POST", "prompt")));
    ASSERT_TRUE(
        simulation.runUntil([&backends] { return backends[0]->endedConnections + backends[1]->endedConnections > 0; }));
    constexpr int roundsOfARetry = 50;
    int rounds = 0;
    simulation.runUntil([&rounds] { return ++rounds > roundsOfARetry; });
    EXPECT_EQ(requestCount, 1);
}

TEST(HostileBackend, answeredConnectionsCloseWithoutAReset)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::NonIdempotent);
    auto &backend
        = simulation.addBackend(always({backendAnswer("ok", "Proof: p\r\nAttempt: 77\r\nConnection: close\r\n")}));
    EXPECT_TRUE(hasStatus(simulation.exchange(callerRequest("POST", "fee=1")), 200));
    ASSERT_TRUE(simulation.runUntil([&backend] { return backend.endedConnections == 1; }));
    EXPECT_EQ(backend.lastEnd, asio::error::eof);
}

TEST(HostileCaller, smuggledRequestsAreRefused)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::NonIdempotent);
    auto &backend = simulation.addBackend(always({backendAnswer("ok")}));
    const std::string smuggled = "0\r\n\r\nPOST /x/2 HTTP/1.1\r\nHost: a.example\r\n\r\n";
    const auto answer = simulation.exchange(callerRequest("POST", smuggled, "Transfer-Encoding: chunked\r\n"));
    EXPECT_TRUE(hasStatus(answer, 400)) << answer;
    EXPECT_TRUE(backend.requests.empty());
}

// Reserved fields passed the filter if a blank stood before the colon or the line.
TEST(HostileCaller, fieldsWithABlankInTheirNameAreRefused)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::NonIdempotent);
    auto &backend = simulation.addBackend(always({backendAnswer("ok")}));
    for (const std::string field :
         {"Organisation : other\r\n", " Organisation: other\r\n", "Extra: x\r\n Organisation: y\r\n",
          "Organisation\t: other\r\n", "Content-Length : 3\r\n"}) {
        EXPECT_TRUE(hasStatus(simulation.exchange(callerRequest("POST", "fee=1", field)), 400)) << field;
    }
    EXPECT_TRUE(backend.requests.empty());
}

TEST(HostileCaller, fieldsReservedForTheEntryAreRemovedFromARequest)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::NonIdempotent);
    auto &backend = simulation.addBackend(always({backendAnswer("ok")}));
    simulation.exchange(callerRequest("POST", "fee=1", "Organisation: other\r\nExpected: other\r\nTE: trailers\r\n"));
    ASSERT_EQ(backend.requests.size(), 1U);
    EXPECT_EQ(backend.requests.front().find("other"), std::string::npos);
    EXPECT_EQ(backend.requests.front().find("TE:"), std::string::npos);
}

TEST(HostileCaller, chunkedBodyArrivesComplete)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::NonIdempotent);
    auto &backend = simulation.addBackend(always({backendAnswer("ok")}));
    auto request = callerRequest("POST", {}, "Transfer-Encoding: chunked\r\n");
    request += "3\r\nfee\r\n2\r\n=1\r\n0\r\n\r\n";
    EXPECT_TRUE(hasStatus(simulation.exchange(request), 200));
    EXPECT_TRUE(backend.requests.front().ends_with("\r\n\r\nfee=1"));
}

TEST(HostileCaller, unknownKeysAndRoutesAreRefusedImmediately)
{
    EntrySimulation simulation;
    const auto unconfigured = simulation.exchange(callerRequest("GET"));
    EXPECT_TRUE(hasStatus(unconfigured, 503));
    EXPECT_NE(unconfigured.find("Retry-After: "), std::string::npos);
    simulation.configure(RouteKind::Idempotent);
    auto &backend = simulation.addBackend(always({backendAnswer("ok")}));
    auto request = callerRequest("GET");
    request.replace(request.find("secret"), 6, "guess!");
    EXPECT_TRUE(hasStatus(simulation.exchange(request), 401));
    EXPECT_TRUE(
        hasStatus(simulation.exchange("GET /y/ HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n"), 404));
    EXPECT_TRUE(backend.requests.empty());
}

TEST(HostileCaller, requestWithoutABackendServerIsRefusedWithRetryAfter)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::NonIdempotent, std::chrono::milliseconds(100));
    const auto answer = simulation.exchange(callerRequest("POST", "fee=1"));
    EXPECT_TRUE(hasStatus(answer, 503)) << answer;
    EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
}

} // namespace lycheelanding::forwarding

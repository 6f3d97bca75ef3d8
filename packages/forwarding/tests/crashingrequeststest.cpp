#include "entrysimulation.h"

#include <gtest/gtest.h>

namespace lycheelanding::forwarding {

namespace {

/// Crashes that may happen before a part of a prompt is recognised, and requests with it that may be sent later: the
/// users' bound.
constexpr int crashesUntilRecognised = 5;
constexpr int requestsSentLater = 3;
constexpr int backendCount = 12;
/// The same for a request that is repeated.
constexpr int crashesUntilRepeatIsRecognised = 3;
constexpr int repeatsSentLater = 3;

const std::string crashingPart = "bad";
const std::string crashingBody = "crash";
const std::string lastChunk = "0\r\n\r\n";

std::string promptOf(const std::string &sharedParts, int number)
{
    return "Parts: " + sharedParts + ",own" + std::to_string(number) + ":250\r\n";
}

/// An entry whose backend servers end when they begin to answer a request with a certain part in its prompt, or with a
/// certain body. Others take their places.
struct CrashSimulation
{
    explicit CrashSimulation(RouteKind kind = RouteKind::Stream) : kind(kind)
    {
        simulation.configure(kind);
        for (int number = 0; number < backendCount; ++number) {
            addBackend();
        }
    }

    void addBackend()
    {
        simulation.addBackend(
            [this, number = ++backends](const std::string &request) { return respond(request, number); });
    }

    ScriptedResponse respond(const std::string &request, int backend)
    {
        if (request.find(crashingPart + ":") == std::string::npos && !request.ends_with("\r\n" + crashingBody)) {
            if (kind != RouteKind::Stream) {
                return {backendAnswer("sound")};
            }
            return {"HTTP/1.1 200 OK\r\nProof: p\r\nAttempt: 77\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n"
                    + lastChunk};
        }
        ++crashes;
        ended.push_back(backend);
        ScriptedResponse response;
        response.bytes = firstBytes;
        response.endsBackend = true;
        return response;
    }

    std::string send(const std::string &sharedParts)
    {
        return exchange(callerRequest("POST", "prompt", promptOf(sharedParts, ++requests)));
    }

    std::string exchange(const std::string &request)
    {
        auto answer = simulation.exchange(request);
        for (const int number : std::exchange(ended, {})) {
            simulation.removeBackend(number);
            addBackend();
        }
        return answer;
    }

    const RouteKind kind;
    EntrySimulation simulation;
    /// What a backend server sends before it crashes.
    std::string firstBytes;
    int backends = 0;
    int requests = 0;
    int crashes = 0;
    /// Backend servers that have ended since the last request; each is replaced.
    std::vector<int> ended;
};

} // namespace

// Requests with one part in their prompts ended one backend server after the other, new requests and
// retries alike.
TEST(CrashingRequests, backendsAreNotEndedOneAfterTheOther)
{
    CrashSimulation entry;
    for (int number = 0; number < backendCount; ++number) {
        entry.send("common:40,bad:100");
    }
    EXPECT_LE(entry.crashes, crashesUntilRecognised + requestsSentLater);
}

// The same fault with nothing else in common: whatever the other parts are, the crashing one ends the backend server.
TEST(CrashingRequests, theOtherPartsOfThePromptDoNotMatter)
{
    CrashSimulation entry;
    for (int number = 0; number < backendCount; ++number) {
        entry.send("first" + std::to_string(number) + ":40,bad:100");
    }
    EXPECT_LE(entry.crashes, crashesUntilRecognised + requestsSentLater);
}

// The same fault hits requests that share the other parts of the prompts.
TEST(CrashingRequests, soundRequestsWithTheSameFirstPartAreServed)
{
    CrashSimulation entry;
    for (int number = 0; number < backendCount; ++number) {
        entry.send("common:40,bad:100");
        const auto answer = entry.send("common:40,sound:100");
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ") && answer.ends_with(lastChunk)) << answer;
    }
}

// Such a request gets its answer at once, with a time to come back, and the answer is true.
TEST(CrashingRequests, recognisedRequestIsRefusedAtOnce)
{
    CrashSimulation entry;
    std::string answer;
    for (int number = 0; number < backendCount / 2; ++number) {
        answer = entry.send("common:40,bad:100");
    }
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
    EXPECT_NE(answer.find("Retry-After: "), std::string::npos) << answer;
    EXPECT_NE(answer.find("\"ran\":\"no\""), std::string::npos) << answer;
    EXPECT_LT(entry.crashes, backendCount / 2);
}

// A backend server may send a part of the first event before it crashes, in several pieces.
TEST(CrashingRequests, piecesOfTheFirstEventAreNoProgress)
{
    CrashSimulation entry;
    entry.firstBytes = "HTTP/1.1 200 OK\r\nProof: p\r\nAttempt: 77\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "3\r\nid:\r\n3\r\n 1\n\r\n";
    for (int number = 0; number < backendCount; ++number) {
        entry.send("common:40,bad:100");
    }
    EXPECT_LE(entry.crashes, crashesUntilRecognised + requestsSentLater);
}

// One request ended one backend server after the other, each time that its caller repeated it.
TEST(CrashingRequests, repeatsOfOneRequestDoNotEndBackendsOneAfterTheOther)
{
    for (const auto kind : {RouteKind::Idempotent, RouteKind::NonIdempotent, RouteKind::Stream}) {
        CrashSimulation entry(kind);
        for (int number = 0; number < backendCount; ++number) {
            // The own part of the prompt need not be the same.
            entry.exchange(callerRequest("POST", crashingBody, "Parts: own" + std::to_string(number) + ":250\r\n"));
        }
        EXPECT_LE(entry.crashes, crashesUntilRepeatIsRecognised + repeatsSentLater);
    }
}

// A backend server may send some events of a stream before it crashes. They cleared the request, and each repeat ended
// another backend server.
TEST(CrashingRequests, repeatsThatCrashBackendsInMidStreamAreRecognised)
{
    CrashSimulation entry;
    entry.firstBytes = "HTTP/1.1 200 OK\r\nProof: p\r\nAttempt: 77\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\nf\r\nid: 3\ndata: c\n\n\r\n";
    for (int number = 0; number < backendCount; ++number) {
        entry.exchange(callerRequest("POST", crashingBody));
    }
    EXPECT_LE(entry.crashes, crashesUntilRepeatIsRecognised + repeatsSentLater);
}

// A repeat that is recognised gets its answer at once, with a time to come back, and the answer is true.
TEST(CrashingRequests, recognisedRepeatIsRefusedAtOnce)
{
    CrashSimulation entry(RouteKind::NonIdempotent);
    std::string answer;
    for (int number = 0; number < backendCount / 2; ++number) {
        answer = entry.exchange(callerRequest("POST", crashingBody));
    }
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
    EXPECT_NE(answer.find("Retry-After: "), std::string::npos) << answer;
    EXPECT_NE(answer.find("\"ran\":\"no\""), std::string::npos) << answer;
    EXPECT_LT(entry.crashes, backendCount / 2);
}

// The same fault hits requests that differ from the repeated one in their body, target or caller.
TEST(CrashingRequests, otherRequestsThanTheRepeatedOneAreServed)
{
    for (const auto kind : {RouteKind::Idempotent, RouteKind::NonIdempotent, RouteKind::Stream}) {
        CrashSimulation entry(kind);
        for (int number = 0; number < backendCount; ++number) {
            entry.exchange(callerRequest("POST", crashingBody));
            const auto answer = entry.exchange(callerRequest("POST", "sound"));
            EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
        }
    }
}

} // namespace lycheelanding::forwarding

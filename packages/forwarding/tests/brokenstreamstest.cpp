#include "entrysimulation.h"

#include <gtest/gtest.h>

#include <charconv>

namespace lycheelanding::forwarding {

namespace {

const std::string firstHead = "HTTP/1.1 200 OK\r\nProof: first\r\nAttempt: 77\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string secondHead = "HTTP/1.1 200 OK\r\nProof: second\r\nAttempt: 77\r\nTransfer-Encoding: chunked\r\n\r\n";
/// An answer with neither a length nor chunks: it ends with its connection.
const std::string firstUnframedHead = "HTTP/1.1 200 OK\r\nProof: first\r\nAttempt: 77\r\n\r\n";
const std::string secondUnframedHead = "HTTP/1.1 200 OK\r\nProof: second\r\nAttempt: 77\r\n\r\n";
const std::string lastChunk = "0\r\n\r\n";

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: part" + std::to_string(id) + "\n\n";
}

std::string chunk(const std::string &text)
{
    std::array<char, 8> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), text.size(), 16).ptr;
    return std::string(size.data(), end) + "\r\n" + text + "\r\n";
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

/// A stream that is inactive between its two events for longer than the inactivity timeout, 2.4 s with the route of the
/// simulation.
ScriptedResponse slowStream()
{
    return {firstHead + chunk(event(1)), false, false, chunk(event(2)) + lastChunk, std::chrono::milliseconds(2800)};
}

/// The first request to any backend server of the simulation gets `first`, each later one `later`.
FakeBackend::Script firstThenLater(int &requestCount, const ScriptedResponse &first, const ScriptedResponse &later)
{
    return [&requestCount, first, later](const std::string &) { return ++requestCount == 1 ? first : later; };
}

/// A simulation in which the backend server that gets the first request aborts the stream or becomes inactive.
struct StreamSimulation
{
    StreamSimulation(const ScriptedResponse &first, const ScriptedResponse &later, bool isResumable = true)
    {
        simulation.configure(RouteKind::Stream, std::chrono::seconds(10), 2, isResumable);
        backends = {&simulation.addBackend(firstThenLater(requestCount, first, later)),
                    &simulation.addBackend(firstThenLater(requestCount, first, later))};
        answer = simulation.exchange(callerRequest("POST", "prompt"));
    }

    std::string resumedRequest() const
    {
        for (const auto *backend : backends) {
            for (const auto &request : backend->requests) {
                if (request.find("Last-Event-ID") != std::string::npos) {
                    return request;
                }
            }
        }
        return {};
    }

    void expectCompleteStream(int events) const
    {
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 "));
        EXPECT_TRUE(answer.ends_with(lastChunk)) << answer;
        for (int id = 1; id <= events; ++id) {
            EXPECT_EQ(countOf(answer, "data: part" + std::to_string(id) + "\n"), 1U) << answer;
        }
        EXPECT_NE(answer.find("Proof: first"), std::string::npos);
        EXPECT_EQ(answer.find("Proof: second"), std::string::npos);
    }

    EntrySimulation simulation;
    int requestCount = 0;
    std::vector<FakeBackend *> backends;
    std::string answer;
};

} // namespace

TEST(BrokenStreams, abortedStreamIsResumedAtAnotherBackend)
{
    const StreamSimulation stream({firstHead + chunk(event(1) + event(2) + "id: 3\nda"), true},
                                  {secondHead + chunk(event(3)) + chunk(event(4)) + lastChunk});
    stream.expectCompleteStream(4);
    EXPECT_NE(stream.resumedRequest().find("Last-Event-ID: 2\r\n"), std::string::npos);
}

TEST(BrokenStreams, resetStreamIsResumedAtAnotherBackend)
{
    const StreamSimulation stream({firstHead + chunk(event(1)), false, true},
                                  {secondHead + chunk(event(2) + event(3)) + lastChunk});
    stream.expectCompleteStream(3);
}

// A suspended VM sends nothing, but its connections stay open.
TEST(BrokenStreams, inactiveStreamIsResumedAtAnotherBackend)
{
    const StreamSimulation stream({firstHead + chunk(event(1))}, {secondHead + chunk(event(2)) + lastChunk});
    stream.expectCompleteStream(2);
}

// A stalled group ended streams that were only slow: they were given up before it was known whether they could be
// resumed.
TEST(BrokenStreams, inactiveStreamIsKeptWhenItsRouteAllowsNoFurtherAttempt)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::Stream, std::chrono::seconds(10), 1);
    simulation.addBackend([](const std::string &) { return slowStream(); });
    const auto answer = simulation.exchange(callerRequest("POST", "prompt"));
    EXPECT_NE(answer.find(event(2)), std::string::npos) << answer;
    EXPECT_TRUE(answer.ends_with(lastChunk)) << answer;
}

// The same fault: the stream was given up and then waited in vain for another backend server.
TEST(BrokenStreams, inactiveStreamIsKeptWhileNoOtherBackendCanTakeIt)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::Stream);
    simulation.addBackend([](const std::string &) { return slowStream(); });
    const auto answer = simulation.exchange(callerRequest("POST", "prompt"));
    EXPECT_NE(answer.find(event(2)), std::string::npos) << answer;
    EXPECT_TRUE(answer.ends_with(lastChunk)) << answer;
}

// The same fault: the streams of a stalled group spend the retry budget together, and the rest of them was cut off.
TEST(BrokenStreams, inactiveStreamIsKeptWhenTheRetryBudgetIsSpent)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::Stream);
    bool isBudgetSpent = false;
    int requestCount = 0;
    const FakeBackend::Script script = [&isBudgetSpent, &requestCount](const std::string &) {
        ++requestCount;
        return isBudgetSpent ? slowStream() : ScriptedResponse{firstHead + chunk(event(1)), true};
    };
    simulation.addBackend(script);
    simulation.addBackend(script);
    // Two requests to backend servers for one of a caller as long as the budget allows retries.
    for (int before = 0; !isBudgetSpent; before = requestCount) {
        simulation.exchange(callerRequest("POST", "prompt"));
        isBudgetSpent = requestCount == before + 1;
    }
    const auto answer = simulation.exchange(callerRequest("POST", "prompt"));
    EXPECT_NE(answer.find(event(2)), std::string::npos) << answer;
    EXPECT_TRUE(answer.ends_with(lastChunk)) << answer;
}

// Streams were given up for another backend server although too little time was left for it to begin its answer.
TEST(BrokenStreams, inactiveStreamIsKeptWhenTooLittleTimeIsLeftToResumeIt)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::Stream, std::chrono::milliseconds(3500));
    int requestCount = 0;
    const ScriptedResponse afterPrefill{"", false, false, secondHead + chunk(event(2)) + lastChunk,
                                        std::chrono::milliseconds(1500)};
    const auto script = firstThenLater(requestCount, slowStream(), afterPrefill);
    simulation.addBackend(script);
    simulation.addBackend(script);
    const auto answer = simulation.exchange(callerRequest("POST", "prompt"));
    EXPECT_EQ(requestCount, 1);
    EXPECT_NE(answer.find(event(2)), std::string::npos) << answer;
    EXPECT_TRUE(answer.ends_with(lastChunk)) << answer;
}

// Streams of a stalled group were given up for places at other ranks of it, which stall too: the retry budget was spent
// and the places were taken in vain.
TEST(BrokenStreams, inactiveStreamIsNotResumedInItsStalledGroup)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::Stream);
    int requestCount = 0;
    const auto script = firstThenLater(requestCount, slowStream(), {secondHead + chunk(event(2)) + lastChunk});
    BackendLoad load;
    load.group = core::GroupId("g0");
    for (const auto *id : {"backend-1", "backend-2"}) {
        simulation.addBackend(script);
        simulation.setLoad(BackendId(id), load);
    }
    const auto answer = simulation.exchange(callerRequest("POST", "prompt"));
    EXPECT_EQ(requestCount, 1);
    EXPECT_NE(answer.find(event(2)), std::string::npos) << answer;
    EXPECT_TRUE(answer.ends_with(lastChunk)) << answer;
}

// The same fault: a less loaded rank of the stalled group was preferred to another group.
TEST(BrokenStreams, inactiveStreamIsResumedOutsideItsStalledGroup)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::Stream);
    ScriptedResponse rest{secondHead + chunk(event(2)) + lastChunk};
    constexpr int backendCount = 3;
    int first = 0;
    int second = 0;
    for (int number = 1; number <= backendCount; ++number) {
        simulation.addBackend([&simulation, &rest, &first, &second, number](const std::string &) {
            if (first != 0) {
                second = number;
                return rest;
            }
            first = number;
            for (int other = 1; other <= backendCount; ++other) {
                // One of the other two is in the group of the first and idle.
                const bool isInOtherGroup = other == first % backendCount + 1;
                BackendLoad load;
                load.group = core::GroupId(isInOtherGroup ? "g1" : "g0");
                load.running = isInOtherGroup ? 8 : 0;
                simulation.setLoad(BackendId("backend-" + std::to_string(other)), load);
            }
            return slowStream();
        });
    }
    const auto answer = simulation.exchange(callerRequest("POST", "prompt"));
    EXPECT_EQ(second, first % backendCount + 1);
    EXPECT_TRUE(answer.ends_with(lastChunk)) << answer;
}

TEST(BrokenStreams, backendThatRestartsTheStreamCausesNoDuplicates)
{
    const StreamSimulation stream({firstHead + chunk(event(1) + event(2)), true},
                                  {secondHead + chunk(event(1) + event(2) + event(3)) + lastChunk});
    stream.expectCompleteStream(3);
}

TEST(BrokenStreams, streamAbortedByEveryBackendDoesNotLookComplete)
{
    const StreamSimulation stream({firstHead + chunk(event(1) + "id: 2\nda"), true},
                                  {secondHead + chunk(event(2) + "id: 3\nda"), true});
    EXPECT_EQ(stream.requestCount, 2);
    EXPECT_EQ(countOf(stream.answer, "data: part2\n"), 1U);
    EXPECT_EQ(stream.answer.find("id: 3"), std::string::npos);
    EXPECT_FALSE(stream.answer.ends_with(lastChunk));
}

TEST(BrokenStreams, errorOfTheNextBackendIsNotAddedToTheStream)
{
    const StreamSimulation stream(
        {firstHead + chunk(event(1)), true},
        {"HTTP/1.1 500 Internal Server Error\r\nProof: second\r\nAttempt: 77\r\nContent-Length: 4\r\n\r\noops"});
    EXPECT_EQ(stream.answer.find("oops"), std::string::npos);
    EXPECT_FALSE(stream.answer.ends_with(lastChunk));
}

// The text of an error, or an empty answer of another status, was taken as the rest of a stream that another backend
// server had begun: callers got the text in the middle of their stream, and the stream looked complete.
TEST(BrokenStreams, answerThatIsNoStreamDoesNotContinueTheStream)
{
    const std::string fields = "Proof: second\r\nAttempt: 77\r\n";
    const std::string json = fields + "Content-Type: application/json\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n" + chunk("oops") + lastChunk;
    const std::string withLength = "Content-Length: 4\r\n\r\noops";
    const std::vector<std::string> nextAnswers{
        "HTTP/1.1 200 OK\r\n" + json + chunked,
        "HTTP/1.1 200 OK\r\n" + json + "\r\noops\n\n",
        "HTTP/1.1 200 OK\r\n" + json + withLength,
        "HTTP/1.1 200 OK\r\n" + fields + withLength,
        "HTTP/1.1 202 Accepted\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + lastChunk,
        "HTTP/1.1 204 No Content\r\n" + fields + "\r\n",
        "HTTP/1.1 302 Found\r\n" + fields + chunked,
        "HTTP/1.1 400 Bad Request\r\n" + fields + withLength,
        "HTTP/1.1 404 Not Found\r\n" + fields + chunked,
        "HTTP/1.1 421 Misdirected Request\r\n" + withLength,
        "HTTP/1.1 429 Too Many Requests\r\nNot-Run: 1\r\n" + withLength,
        "HTTP/1.1 500 Internal Server Error\r\n" + fields + chunked,
        "HTTP/1.1 500 Internal Server Error\r\n" + json + "\r\noops\n\n",
        "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRetry-After: 1\r\n" + withLength,
        "HTTP/1.1 503 Service Unavailable\r\n" + withLength,
    };
    for (const auto &next : nextAnswers) {
        const StreamSimulation stream({firstHead + chunk(event(1) + event(2) + "id: 3\nda"), true}, {next, true});
        EXPECT_EQ(stream.requestCount, 2) << next;
        EXPECT_TRUE(stream.answer.starts_with("HTTP/1.1 200 ")) << stream.answer;
        EXPECT_TRUE(stream.answer.ends_with("data: part2\n\n\r\n")) << next << stream.answer;
        EXPECT_EQ(countOf(stream.answer, "HTTP/1.1"), 1U) << next << stream.answer;
        EXPECT_EQ(stream.answer.find("oops"), std::string::npos) << next;
    }
}

// The same, where a further backend server completes the stream.
TEST(BrokenStreams, streamGoesOnAfterAnErrorOfTheNextBackend)
{
    const std::string begin = firstHead + chunk(event(1));
    const std::string rest = secondHead + chunk(event(2) + event(3)) + lastChunk;
    for (const std::string error :
         {"HTTP/1.1 500 Internal Server Error\r\nProof: second\r\nAttempt: 77\r\nContent-Length: 4\r\n\r\noops",
          "HTTP/1.1 200 OK\r\nProof: second\r\nAttempt: 77\r\nContent-Type: text/plain\r\n\r\noops\n\n"}) {
        EntrySimulation simulation;
        simulation.configure(RouteKind::Stream, std::chrono::seconds(10), 3);
        int requestCount = 0;
        for (int backend = 0; backend < 3; ++backend) {
            simulation.addBackend([&requestCount, &error, &begin, &rest](const std::string &) {
                switch (++requestCount) {
                case 1:
                    return ScriptedResponse{begin, true};
                case 2:
                    return ScriptedResponse{error, true};
                default:
                    return ScriptedResponse{rest};
                }
            });
        }
        const auto answer = simulation.exchange(callerRequest("POST", "prompt"));
        EXPECT_EQ(requestCount, 3);
        EXPECT_EQ(answer.find("oops"), std::string::npos) << answer;
        EXPECT_EQ(countOf(answer, "data: part"), 3U) << answer;
        EXPECT_TRUE(answer.ends_with(lastChunk)) << answer;
    }
}

TEST(BrokenStreams, nonResumableStreamIsAborted)
{
    const StreamSimulation stream({firstHead + chunk(event(1) + "id: 2"), true}, {secondHead + lastChunk}, false);
    EXPECT_EQ(stream.requestCount, 1);
    // Bytes of such a stream are forwarded immediately.
    EXPECT_NE(stream.answer.find("id: 2"), std::string::npos) << stream.answer;
    EXPECT_FALSE(stream.answer.ends_with(lastChunk));
}

TEST(BrokenStreams, streamWithoutEventIdsIsNotResumed)
{
    const StreamSimulation stream({firstHead + chunk("data: a\n\n"), true},
                                  {secondHead + chunk("data: b\n\n") + lastChunk});
    EXPECT_EQ(stream.requestCount, 1);
    EXPECT_FALSE(stream.answer.ends_with(lastChunk));
}

// A crash closes the connection like the end of an unframed answer, and callers got the broken-off stream as complete.
TEST(BrokenStreams, unframedStreamThatEndsInsideAnEventIsResumed)
{
    const StreamSimulation stream({firstUnframedHead + event(1) + event(2) + "id: 3\nda", true},
                                  {secondUnframedHead + event(3) + event(4), true});
    stream.expectCompleteStream(4);
    EXPECT_NE(stream.resumedRequest().find("Last-Event-ID: 2\r\n"), std::string::npos);
}

// The same fault, at the last attempt that the route allows: the caller saw a shorter stream that looked complete.
TEST(BrokenStreams, unframedStreamThatEndsInsideAnEventDoesNotLookComplete)
{
    const StreamSimulation stream({firstUnframedHead + event(1) + "id: 2\nda", true},
                                  {secondUnframedHead + event(2) + "id: 3\ndata: part3\n", true});
    EXPECT_EQ(stream.requestCount, 2);
    EXPECT_EQ(countOf(stream.answer, "data: part2\n"), 1U);
    EXPECT_FALSE(stream.answer.ends_with(lastChunk)) << stream.answer;
}

// The same fault where no other backend server may resume the stream.
TEST(BrokenStreams, nonResumableUnframedStreamThatEndsInsideAnEventDoesNotLookComplete)
{
    const StreamSimulation stream({firstUnframedHead + event(1) + "id: 2\nda", true}, {secondHead + lastChunk}, false);
    EXPECT_EQ(stream.requestCount, 1);
    EXPECT_FALSE(stream.answer.ends_with(lastChunk)) << stream.answer;
}

// The same fault in its shortest form: the backend server crashes between the head and the first event.
TEST(BrokenStreams, unframedStreamWithoutAnEventIsRetried)
{
    const StreamSimulation stream({firstUnframedHead, true}, {firstUnframedHead + event(1) + event(2), true});
    EXPECT_EQ(stream.requestCount, 2);
    stream.expectCompleteStream(2);
}

// A last chunk after half an event, as a proxy beside the backend server writes it, is no end either.
TEST(BrokenStreams, chunkedStreamThatEndsInsideAnEventIsResumed)
{
    const StreamSimulation stream({firstHead + chunk(event(1) + "id: 2\nda") + lastChunk},
                                  {secondHead + chunk(event(2) + event(3)) + lastChunk});
    stream.expectCompleteStream(3);
}

TEST(BrokenStreams, unframedStreamThatEndsAfterAnEventIsComplete)
{
    const StreamSimulation stream({firstUnframedHead + event(1) + event(2), true}, {secondUnframedHead, true});
    EXPECT_EQ(stream.requestCount, 1);
    stream.expectCompleteStream(2);
}

TEST(BrokenStreams, unframedStreamThatEndsWithACommentIsComplete)
{
    const StreamSimulation stream({firstUnframedHead + event(1) + ": keep-alive\n", true}, {secondUnframedHead, true});
    EXPECT_EQ(stream.requestCount, 1);
    stream.expectCompleteStream(1);
    EXPECT_NE(stream.answer.find(": keep-alive\n"), std::string::npos);
}

// Only an event stream shows where it was cut off; other bodies of such a route end with their connection.
TEST(BrokenStreams, unframedAnswerOfAnotherContentTypeIsComplete)
{
    const std::string head = "HTTP/1.1 200 OK\r\nProof: first\r\nAttempt: 77\r\nContent-Type: application/json\r\n\r\n";
    const StreamSimulation stream({head + "{\"a\":1}", true}, {secondUnframedHead, true});
    EXPECT_EQ(stream.requestCount, 1);
    EXPECT_NE(stream.answer.find("{\"a\":1}"), std::string::npos) << stream.answer;
    EXPECT_TRUE(stream.answer.ends_with(lastChunk)) << stream.answer;
}

} // namespace lycheelanding::forwarding

#include "entrysimulation.h"
#include "limitedfleet.h"

#include <gtest/gtest.h>

namespace lycheelanding::forwarding {

namespace {

using namespace std::chrono_literals;

constexpr int requestCount = 10;
/// So low that it allows one request during the test.
const std::string lowLimit = "Limit: 0.001\r\n";

/// Two backend servers; the one that gets the first request answers as the test says.
struct LimitedSimulation
{
    explicit LimitedSimulation(const std::string &answer)
    {
        simulation.configure(RouteKind::Idempotent);
        for (int number = 1; number <= 2; ++number) {
            simulation.addBackend([this, answer, number](const std::string &) {
                limited = limited == 0 ? number : limited;
                limitedRequests += limited == number ? 1 : 0;
                return ScriptedResponse{limited == number ? answer : backendAnswer("sound")};
            });
        }
        for (int request = 0; request < requestCount; ++request) {
            const auto text = simulation.exchange(callerRequest("GET"));
            answered += text.starts_with("HTTP/1.1 200 ") ? 1 : 0;
        }
    }

    EntrySimulation simulation;
    int limited = 0;
    int limitedRequests = 0;
    int answered = 0;
};

std::string answerWith(const std::string &fields)
{
    return backendAnswer("few", "Proof: p\r\nAttempt: 77\r\n" + fields);
}

/// Plays the fleet with five seeds.
void expectLimitsKept(LimitedFleetOptions options)
{
    for (options.seed = 1; options.seed <= 5; ++options.seed) {
        EXPECT_LE(LimitedFleet(options).largestExcess(), 0.0) << "seed " << options.seed;
    }
}

} // namespace

// A backend server that says in its answers how many requests a second it takes got as many as before.
TEST(LimitedBackends, backendThatStatesALimitGetsNoMoreThanThat)
{
    const std::string fields = "Proof: p\r\nAttempt: 77\r\n" + lowLimit + "Content-Length: 0\r\n\r\n";
    for (const auto &answer : {answerWith(lowLimit), "HTTP/1.1 500 Internal Server Error\r\n" + fields,
                               "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + fields}) {
        const LimitedSimulation entry(answer);
        EXPECT_EQ(entry.limitedRequests, 1) << answer;
        EXPECT_EQ(entry.answered, requestCount) << answer;
    }
}

// Its registration lapsed and came back, as after an outage of the store, and the limit was forgotten.
TEST(LimitedBackends, limitOutlivesTheRegistration)
{
    using decisions::membership::BackendUnusable;
    using decisions::membership::BackendUsable;
    constexpr core::TimePoint start{1h};
    RegisteredBackend backend;
    backend.id = BackendId("a");
    backend.service = core::ServiceId("app");
    backend.address = "10.0.0.1:80";
    backend.startedAtMs = 7;
    const BackendUnusable lapsed{backend.id, decisions::membership::DirectoryReason::Lapsed};
    BackendSet backends(core::DataCentreId("a"), 1);
    backends.apply({BackendUsable{backend}}, start);
    backends.intake().limitStated({backend.id, backend.service, 2.5, start}, start);

    backends.apply({lapsed}, start + 1s);
    backends.apply({BackendUsable{backend}}, start + 3s);
    EXPECT_EQ(backends.intake().limitOf(backend.id), 2.5);

    backends.apply({lapsed}, start + 4s);
    backend.startedAtMs = 8;
    backends.apply({BackendUsable{backend}}, start + 6s);
    EXPECT_FALSE(backends.intake().limitOf(backend.id)) << "another incarnation has stated none";

    backends.intake().limitStated({backend.id, backend.service, 2.5, start + 7s}, start + 7s);
    backends.apply({lapsed}, start + 8s);
    backends.apply({}, start + 1h);
    EXPECT_EQ(backends.intake().limitedCount(), 0U) << "it is not remembered for ever";
}

// What another backend server, or broken bytes, say at its address is no word of the backend server.
TEST(LimitedBackends, limitsOfOthersAndUnreadableOnesChangeNothing)
{
    const std::string misdirected
        = "HTTP/1.1 421 Misdirected Request\r\nAttempt: 77\r\n" + lowLimit + "Content-Length: 0\r\n\r\n";
    const auto withoutProof = backendAnswer("few", "Attempt: 77\r\n" + lowLimit);
    for (const auto &answer :
         {misdirected, withoutProof, answerWith("Limit: few\r\n"), answerWith("Limit: -1\r\n"),
          answerWith("Limit: nan\r\n"), answerWith("Limit: 1e999\r\n"), answerWith("Limit: 0.001 0\r\n"),
          answerWith("Limit:\r\n"), answerWith("Limit: inf\r\n")}) {
        LimitedSimulation entry(answer);
        EXPECT_EQ(entry.simulation.entry().backends().intake().limitedCount(), 0U) << answer;
    }
}

TEST(LimitedBackends, limitEndsWithTheFirstAnswerWithoutIt)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::Idempotent);
    int requests = 0;
    simulation.addBackend([&requests](const std::string &) {
        return ScriptedResponse{++requests == 1 ? answerWith("Limit: 1000\r\n") : backendAnswer("sound")};
    });
    simulation.exchange(callerRequest("GET"));
    EXPECT_EQ(simulation.entry().backends().intake().limitedCount(), 1U);
    simulation.exchange(callerRequest("GET"));
    EXPECT_EQ(simulation.entry().backends().intake().limitedCount(), 0U);
}

// Each entry kept sending as much as its load balancing chose; a limit that is stated is for all entries together.
TEST(LimitedBackends, entriesTogetherKeepToAStatedLimit)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        LimitedFleetOptions options;
        options.seed = seed;
        const LimitedFleet fleet(options);
        EXPECT_LE(fleet.largestExcess(), 0.0) << "seed " << seed;
        EXPECT_EQ(fleet.refused, 0U) << "the other backend servers have the capacity";
    }
}

// The same where a whole service is limited, and requests wait at every entry for their turn.
TEST(LimitedBackends, entriesTogetherKeepToTheLimitsOfAWholeService)
{
    LimitedFleetOptions options;
    options.limitedBackends = options.backends;
    options.limit = 1.0;
    expectLimitsKept(options);
}

// The same with so many entries that one request from each of them would be too many.
TEST(LimitedBackends, manyEntriesTogetherKeepToASmallLimit)
{
    LimitedFleetOptions options;
    options.backends = 8;
    options.limitedBackends = 8;
    options.limit = 0.5;
    options.arrivals.assign(22, 2.0);
    options.quietFrom = 12s;
    options.quietFor = 4s;
    expectLimitsKept(options);
}

// The same when the entries hear nothing of each other's answers.
TEST(LimitedBackends, limitIsKeptWithoutReportsOfOtherEntries)
{
    LimitedFleetOptions options;
    options.backends = 8;
    options.limitedBackends = 8;
    options.limit = 0.5;
    options.arrivals.assign(22, 2.0);
    options.limitedFor = 70s;
    options.playTime = 90s;
    options.areReportsLost = true;
    expectLimitsKept(options);
}

// The same after a time without requests, in which no entry has used its part of the limit.
TEST(LimitedBackends, burstAfterAQuietTimeKeepsToTheLimit)
{
    LimitedFleetOptions options;
    options.limitedBackends = options.backends;
    options.limit = 1.0;
    options.arrivals.assign(8, 12.0);
    options.limitedFor = 30s;
    options.quietFrom = 12s;
    options.quietFor = 10s;
    expectLimitsKept(options);
}

// Entries that get no turns of a small limit have no answers that show its end: they refused requests for good.
TEST(LimitedBackends, allEntriesLearnOfTheEndOfALimit)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        LimitedFleetOptions options;
        options.backends = 8;
        options.limitedBackends = 8;
        options.limit = 0.5;
        options.arrivals.assign(22, 2.0);
        options.limitedFor = 10s;
        options.seed = seed;
        const LimitedFleet fleet(options);
        // The waiting time of requests that arrived before, and one turn of the entries that have some.
        EXPECT_EQ(fleet.refusedSince(options.limitedFrom + options.limitedFor + 5s), 0U) << "seed " << seed;
    }
}

// Requests that the limits leave no turn for waited half of their time before they were refused.
TEST(LimitedBackends, requestsBeyondTheLimitsOfAWholeServiceAreRefusedAtOnce)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        LimitedFleetOptions options;
        options.limitedBackends = options.backends;
        options.limit = 1.0;
        options.limitedFor = 30s;
        options.seed = seed;
        const LimitedFleet fleet(options);
        const auto from = options.limitedFrom + LimitRule::stableWindow;
        EXPECT_GT(fleet.refusedSince(from), 0U) << "seed " << seed;
        EXPECT_EQ(fleet.refusedAfterWaiting(from), 0U) << "seed " << seed;
    }
}

// Callers do not spread evenly over the entries. With even shares, entries with many of them refused requests while the
// shares of the others were left unused.
TEST(LimitedBackends, entriesWithUnevenDemandUseTheWholeLimit)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        LimitedFleetOptions options;
        options.limitedBackends = options.backends;
        options.limit = 4.0;
        options.arrivals = {4.0, 32.0, 8.0, 4.0};
        options.limitedFor = 30s;
        options.seed = seed;
        const LimitedFleet fleet(options);
        EXPECT_LE(fleet.largestExcess(), 0.0) << "seed " << seed;
        EXPECT_LE(fleet.refused * 100, fleet.arrived) << "seed " << seed;
    }
}

} // namespace lycheelanding::forwarding

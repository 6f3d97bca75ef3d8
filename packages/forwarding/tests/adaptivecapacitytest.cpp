#include "entrysimulation.h"
#include "lycheelanding/forwarding/capacityreporter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>

#include <unistd.h>

namespace lycheelanding::forwarding {

namespace {

using namespace std::chrono_literals;

} // namespace

// A refusal comes at once and would make a full backend server look fast; a failure takes as long as an answer.
TEST(AdaptiveCapacity, answersAndFailuresGiveResponseTimesButRefusalsDoNot)
{
    const std::string fields = "Proof: p\r\nAttempt: 77\r\nContent-Length: 0\r\n\r\n";
    for (const bool isAdaptive : {false, true}) {
        EntrySimulation simulation(-1, isAdaptive);
        simulation.configure(RouteKind::Idempotent, 10s, 1);
        std::string answer;
        simulation.addBackend([&answer](const std::string &) { return ScriptedResponse{answer}; });
        for (const std::string status : {"200 OK", "500 Failed", "503 Full\r\nNot-Run: 1"}) {
            answer.assign("HTTP/1.1 ").append(status).append("\r\n").append(fields);
            simulation.exchange(callerRequest("GET"));
        }
        const auto &capacity = simulation.entry().backends().capacity();
        // At the start of the clock no limit has grown yet.
        EXPECT_EQ(capacity.limit(core::VmId("backend-1"), core::TimePoint()).has_value(), isAdaptive);
        EXPECT_EQ(capacity.acceptedSamples(), isAdaptive ? 3U : 0U);
    }
}

// A limit that came and went with each few requests would fill the log.
TEST(AdaptiveCapacity, limitThatComesAndGoesIsLoggedAtMostOnceInFiveSeconds)
{
    std::array<int, 2> ends{};
    ASSERT_EQ(::pipe(ends.data()), 0);
    EventLog log(ends[1], "entry");
    report::Metrics metrics;
    BackendSet backends(core::DataCentreId(), 1);
    backends.enableAdaptiveCapacity();
    CapacityReporter reporter(backends, log, metrics);
    core::TimePoint now{1h};
    RegisteredBackend backend;
    backend.id = BackendId("backend-1");
    backend.service = core::ServiceId("app");
    backend.address = "10.0.0.1:80";
    backends.apply({decisions::membership::BackendUsable{backend}}, now);
    BackendRequirements request;
    request.service = backend.service;
    for (std::uint64_t second = 0; second < 20; ++second, now += 1s) {
        if (second % 5 == 0) {
            ASSERT_TRUE(core::isOk(backends.selectBackend(request, AttemptId(second), now)));
            backends.recordWritten(AttemptId(second), now);
            backends.recordAttemptEnd(AttemptId(second), Outcome::Refused, now + 1ms);
        }
        reporter.advance(now + 2ms);
        EXPECT_EQ(metrics.value(report::Gauge::BackendsLimited), second % 5 < 4 ? 1U : 0U);
    }
    log.flush();
    std::string text(64UL * 1024, '\0');
    const auto size = ::read(ends[0], text.data(), text.size());
    ASSERT_GT(size, 0);
    text.resize(static_cast<std::size_t>(size));
    EXPECT_LE(std::count(text.begin(), text.end(), '\n'), 4) << "eight changes in 20 s:\n" << text;
    EXPECT_NE(text.find("backendCapacityChanged"), std::string::npos);
    EXPECT_EQ(metrics.value(report::Counter::ResponseTimeSamples), 4U);
    ::close(ends[0]);
    ::close(ends[1]);
}

} // namespace lycheelanding::forwarding

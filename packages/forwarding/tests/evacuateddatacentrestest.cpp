#include "entrysimulation.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace lycheelanding::forwarding {

namespace {

using decisions::membership::DataCentreEmptied;
using decisions::membership::DataCentreTakenBack;

void evacuate(EntrySimulation &simulation, const std::string &dataCentre)
{
    simulation.entry().applyEvacuations({DataCentreEmptied{core::DataCentreId(dataCentre), 5}}, {});
}

FakeBackend &addBackend(EntrySimulation &simulation, const std::string &dataCentre)
{
    return simulation.addBackend(
        [dataCentre](const std::string &) { return ScriptedResponse{backendAnswer(dataCentre)}; }, dataCentre);
}

bool isRefused(const std::string &answer)
{
    return answer.starts_with("HTTP/1.1 503 ") && answer.find("\r\nRetry-After: 1.") != std::string::npos
        && answer.find(R"({"kind":"dataCentresEvacuated","ran":"no"})") != std::string::npos;
}

constexpr core::TimePoint start{std::chrono::hours(1)};
const std::vector<BackendId> ids = {BackendId("east-1"), BackendId("east-2"), BackendId("west-1"), BackendId("west-2")};

/// Two backend servers in each of two data centres.
struct Fleet
{
    Fleet()
    {
        for (const auto &id : ids) {
            RegisteredBackend backend;
            backend.id = id;
            backend.service = service;
            backend.address = "10.0.0.1:80";
            backend.dataCentre = core::DataCentreId(id.text().substr(0, 4));
            backends.apply({decisions::membership::BackendUsable{backend}}, start);
        }
    }

    void evacuateEast() { backends.apply({DataCentreEmptied{core::DataCentreId("east"), 5}}); }

    /// Sends a request to a backend server, one of `allowed`; empty if none can be chosen.
    std::string send(const std::vector<BackendId> &allowed, Outcome outcome, core::TimePoint now)
    {
        BackendRequirements request;
        request.service = service;
        request.isIdempotent = true;
        std::copy_if(ids.begin(), ids.end(), std::back_inserter(request.tried),
                     [&](const auto &id) { return std::find(allowed.begin(), allowed.end(), id) == allowed.end(); });
        lastAttempt = lastAttempt.next();
        const auto chosen = backends.selectBackend(request, lastAttempt, now);
        backends.recordAttemptEnd(lastAttempt, outcome, now);
        return core::isOk(chosen) ? core::valueOf(chosen).id.text() : std::string();
    }

    void eject(const BackendId &id)
    {
        for (int failure = 0; failure < 3; ++failure) {
            send({id}, Outcome::Failed, start);
        }
    }

    const core::ServiceId service{"app"};
    BackendSet backends{core::DataCentreId("east"), 1};
    AttemptId lastAttempt;
};

} // namespace

// Probes of ejected backend servers, and the first request after a pause, come before all others.
TEST(EvacuatedDataCentres, noProbeAndNoReturnAfterAPause)
{
    Fleet fleet;
    fleet.eject(ids[0]);
    fleet.backends.recordTurnedAway({ids[1], 0, start + std::chrono::seconds(1)}, start);
    fleet.evacuateEast();
    for (int request = 0; request < 10; ++request) {
        const auto chosen = fleet.send(ids, Outcome::Answered, start + std::chrono::minutes(10));
        EXPECT_TRUE(chosen.starts_with("west")) << chosen;
    }
}

// The backend servers of the evacuated data centre counted as available, so that failing ones were not tried at all.
TEST(EvacuatedDataCentres, panicThresholdCountsTheOtherDataCentres)
{
    Fleet fleet;
    fleet.evacuateEast();
    fleet.eject(ids[2]);
    fleet.eject(ids[3]);
    EXPECT_TRUE(fleet.send(ids, Outcome::Answered, start).starts_with("west"));
}

// Requests waited for backend servers that take none although those left had refused them.
TEST(EvacuatedDataCentres, pausesAndLimitsOfTheOtherDataCentresDecide)
{
    Fleet fleet;
    fleet.evacuateEast();
    WaitLimits limits;
    limits.waitDeadline = start + std::chrono::seconds(1);
    for (const auto &id : {ids[2], ids[3]}) {
        fleet.backends.recordTurnedAway({id, 0, start + std::chrono::minutes(1)}, start);
        fleet.backends.intake().limitStated({id, fleet.service, 1.0, start}, start);
    }
    EXPECT_TRUE(fleet.backends.turnedAwayUntil(fleet.service, start));
    EXPECT_TRUE(fleet.backends.limitError(fleet.service, 100, limits, "7", start));
}

// Idle connections to the backend servers of the data centre are left, and one was used for the next request.
TEST(EvacuatedDataCentres, backendsGetNothingUntilTheirDataCentreIsTakenBack)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::Idempotent);
    auto &east = addBackend(simulation, "east");
    simulation.exchange(callerRequest("GET"));
    auto &west = addBackend(simulation, "west");
    evacuate(simulation, "east");
    for (int request = 0; request < 10; ++request) {
        EXPECT_TRUE(simulation.exchange(callerRequest("GET")).ends_with("west"));
    }
    EXPECT_EQ(east.requests.size(), 1U);
    EXPECT_EQ(west.requests.size(), 10U);
    EXPECT_EQ(simulation.entry().metrics().value(report::Gauge::EvacuatedDataCentres), 1U);
    simulation.entry().applyEvacuations({DataCentreTakenBack{core::DataCentreId("east"), 6}}, {});
    for (int request = 0; request < 20; ++request) {
        simulation.exchange(callerRequest("GET"));
    }
    EXPECT_GT(east.requests.size(), 1U);
}

// A backend server had been chosen, and its connection was being opened, when its data centre was evacuated.
TEST(EvacuatedDataCentres, chosenBackendGetsNoRequestOnceItsConnectionIsOpen)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::NonIdempotent);
    auto &east = addBackend(simulation, "east");
    auto socket = simulation.sendUntilConnecting(callerRequest("POST", "release"));
    addBackend(simulation, "west");
    evacuate(simulation, "east");
    EXPECT_TRUE(simulation.receiveAll(socket).ends_with("west"));
    EXPECT_TRUE(east.requests.empty());
}

// Requests waited in vain where no backend server was left, those that waited already included.
TEST(EvacuatedDataCentres, requestsThatNoBackendTakesAreRefusedAtOnce)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::NonIdempotent);
    auto &east = addBackend(simulation, "east");
    BackendLoad stalled;
    stalled.isGroupStepping = false;
    stalled.measuredAt = core::SystemClock().now();
    simulation.entry().updateBackendLoad(BackendId("backend-1"), stalled);
    simulation.setLoad(BackendId("backend-1"), stalled);
    auto socket = simulation.connect();
    asio::write(socket, asio::buffer(callerRequest("POST", "release")));
    simulation.runUntil([&] { return simulation.entry().metrics().value(report::Counter::RequestsReceived) == 1; });
    evacuate(simulation, "east");
    EXPECT_EQ(simulation.entry().metrics().refusals(core::ErrorKind::DataCentresEvacuated), 1U);
    EXPECT_TRUE(isRefused(simulation.receiveAll(socket)));
    EXPECT_TRUE(isRefused(simulation.exchange(callerRequest("POST", "release"))));
    EXPECT_TRUE(east.requests.empty());
}

TEST(EvacuatedDataCentres, runningRequestGoesOn)
{
    EntrySimulation simulation;
    simulation.configure(RouteKind::Idempotent);
    auto &east = simulation.addBackend(
        [](const std::string &) {
            return ScriptedResponse{"HTTP/1.1 200 OK\r\nProof: p\r\nAttempt: 77\r\nContent-Length: 4\r\n\r\n", false,
                                    false, "east", std::chrono::milliseconds(30)};
        },
        "east");
    auto socket = simulation.sendUntilConnecting(callerRequest("GET"));
    simulation.runUntil([&east] { return !east.requests.empty(); });
    evacuate(simulation, "east");
    EXPECT_TRUE(simulation.receiveAll(socket).ends_with("east"));
}

} // namespace lycheelanding::forwarding

#include "routing/capacitysimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lycheelanding::decisions::routing {

namespace {

using namespace std::chrono_literals;

const core::VmId first("first");
const core::VmId second("second");

/// One entry's estimates of two backend servers.
struct Estimates
{
    Estimates() { setIncarnation(1); }

    void setIncarnation(std::uint64_t incarnation)
    {
        estimator.setServers({{first, core::ServiceId("app"), incarnation}, {second, core::ServiceId("app"), 1}});
    }

    ResponseSample sample(const core::VmId &vm, core::Duration time) const { return {vm, 1, now - time, time, 1}; }

    /// One answer of each backend server per interval.
    void answer(int count, core::Duration firstTime, core::Duration secondTime, core::Duration interval = 500ms)
    {
        for (; count > 0; --count) {
            now += interval;
            estimator.answered(sample(first, firstTime), now);
            estimator.answered(sample(second, secondTime), now);
        }
    }

    CapacityEstimator estimator;
    core::TimePoint now{1h};
};

double meanWithoutEstimates(const CapacitySimulation &adaptive, std::vector<SimulatedServer> servers, double perSecond)
{
    CapacitySimulation simulation(adaptive.selectors.size(), std::move(servers), false);
    simulation.run(60s, perSecond, 0.06);
    return simulation.meanSeconds();
}

} // namespace

TEST(CapacityEstimator, serversOfDifferentSpeedGetSharesByTheirSpeed)
{
    const std::vector<SimulatedServer> servers{{1.0}, {2.0}, {4.0}};
    CapacitySimulation simulation(6, servers);
    simulation.run(60s, 37, 0.06);
    EXPECT_LT(simulation.meanSeconds(), 0.8 * meanWithoutEstimates(simulation, servers, 37));
    EXPECT_GT(simulation.share(0), 0.6);
    EXPECT_GT(simulation.share(2), 0.01) << "a slow server is starved";
}

TEST(CapacityEstimator, serverWithAKneeLongBeforeItsSlotsAreFullKeepsASteadyShare)
{
    const std::vector<SimulatedServer> servers{{1.0, 2, 1.5}, {1.0}, {1.0}};
    CapacitySimulation simulation(6, servers);
    simulation.run(60s, 60, 0.06);
    EXPECT_LT(simulation.meanSeconds(), 0.95 * meanWithoutEstimates(simulation, servers, 60));
    for (int window = 0; window < 8; ++window) {
        simulation.run(5s, 60, 0.06);
        EXPECT_GT(simulation.share(0), 0.08) << "the load oscillates";
        EXPECT_LT(simulation.share(0), 0.36) << "the load oscillates";
    }
}

TEST(CapacityEstimator, speedsThatChangeInBothDirectionsAreFollowed)
{
    CapacitySimulation simulation(6, {{1.0}, {1.0}, {3.0}});
    simulation.run(30s, 37, 0.06);
    EXPECT_LT(simulation.share(2), 0.15);
    simulation.servers[2].slowness = 1.0;
    simulation.servers[0].slowness = 4.0;
    simulation.run(8s, 37, 0.06);
    simulation.run(8s, 37, 0.06);
    EXPECT_LT(simulation.share(0), 0.18) << "a server that became slow keeps its load";
    EXPECT_GT(simulation.share(2), 0.22) << "a recovered server is not tried again";
}

TEST(CapacityEstimator, severalEntriesDoNotHerdOnTheFastestServer)
{
    const std::vector<SimulatedServer> servers{{0.4, 2, 1.5}, {1.0}, {1.0}};
    CapacitySimulation simulation(6, servers);
    simulation.run(60s, 60, 0.06);
    EXPECT_LT(simulation.share(0), 0.65);
    EXPECT_LT(simulation.refused, simulation.total / 100);
}

TEST(CapacityEstimator, manyEntriesWithFewRequestsShareEqualServersEvenly)
{
    CapacitySimulation simulation(22, std::vector<SimulatedServer>(6));
    simulation.run(60s, 28, 0.06);
    for (std::size_t server = 0; server < 6; ++server) {
        EXPECT_NEAR(simulation.share(server), 1.0 / 6.0, 0.04) << "noise moved the load";
    }
}

TEST(CapacityEstimator, aFewScatteredTimesAreNotTakenForSlowness)
{
    Estimates entry;
    entry.answer(1, 20ms, 60ms);
    EXPECT_LT(entry.estimator.slowness(second, entry.now), 1.3);
    entry.answer(10, 60ms, 60ms);
    entry.answer(1, 60ms, 300ms);
    EXPECT_LT(entry.estimator.slowness(second, entry.now), 1.35) << "a long request is taken for slowness";
}

TEST(CapacityEstimator, requestsWithoutAnAnswerCountAsLowerBounds)
{
    Estimates entry;
    entry.answer(20, 60ms, 60ms);
    for (int count = 0; count < 8; ++count) {
        entry.now += 500ms;
        entry.estimator.failed(entry.sample(first, 1ms), entry.now);
        entry.estimator.failed(entry.sample(second, 1s), entry.now);
    }
    EXPECT_GT(entry.estimator.slowness(second, entry.now), 2.0) << "a server that answers nothing looks fast";
}

TEST(CapacityEstimator, limitFallsWithOverloadOrARefusalAndIsLifted)
{
    Estimates entry;
    entry.answer(30, 60ms, 60ms);
    EXPECT_FALSE(entry.estimator.limit(first, entry.now));
    entry.answer(10, 400ms, 60ms);
    EXPECT_EQ(entry.estimator.limit(first, entry.now), 1U);
    entry.answer(30, 60ms, 60ms);
    EXPECT_FALSE(entry.estimator.limit(first, entry.now));
    entry.estimator.refused(entry.sample(second, 5ms), entry.now);
    EXPECT_EQ(entry.estimator.limit(second, entry.now), 1U);
    EXPECT_FALSE(entry.estimator.limit(second, entry.now + 10s));
}

TEST(CapacityEstimator, invalidSamplesAreDroppedAndCounted)
{
    Estimates entry;
    entry.answer(20, 60ms, 240ms);
    EXPECT_GT(entry.estimator.slowness(second, entry.now), 2.0);
    auto noRequest = entry.sample(first, 10s);
    noRequest.inProgress = 0;
    entry.estimator.answered(noRequest, entry.now);
    entry.estimator.answered(entry.sample(first, 0ms), entry.now);
    entry.estimator.answered(entry.sample(first, -10s), entry.now);
    entry.estimator.answered(entry.sample(core::VmId("unknown"), 10s), entry.now);
    entry.estimator.suspended(entry.now);
    entry.estimator.answered(entry.sample(first, 10s), entry.now + 1ms);
    EXPECT_EQ(entry.estimator.droppedSamples(SampleDrop::InvalidCount), 1U);
    EXPECT_EQ(entry.estimator.droppedSamples(SampleDrop::InvalidTime), 2U);
    EXPECT_EQ(entry.estimator.droppedSamples(SampleDrop::UnknownServer), 1U);
    EXPECT_EQ(entry.estimator.droppedSamples(SampleDrop::BeforeSuspension), 1U);
    EXPECT_EQ(entry.estimator.acceptedSamples(), 40U);
    EXPECT_GT(entry.estimator.slowness(second, entry.now), 2.0);
}

TEST(CapacityEstimator, newIncarnationStartsWithoutEstimates)
{
    Estimates entry;
    entry.answer(20, 240ms, 60ms);
    EXPECT_GT(entry.estimator.slowness(first, entry.now), 2.0);
    entry.setIncarnation(2);
    entry.estimator.answered(entry.sample(first, 240ms), entry.now);
    EXPECT_NEAR(entry.estimator.slowness(first, entry.now), 1.0, 0.01);
    EXPECT_EQ(entry.estimator.droppedSamples(SampleDrop::OtherIncarnation), 1U);
}

RC_GTEST_PROP(CapacityEstimator, estimatesStayInBounds, (const std::vector<std::int32_t> &times))
{
    Estimates entry;
    for (const auto time : times) {
        entry.now += std::chrono::milliseconds(std::abs(time % 5000));
        entry.estimator.answered(entry.sample(time % 2 == 0 ? first : second, core::Duration(time)), entry.now);
        RC_ASSERT(entry.estimator.slowness(first, entry.now) >= 1.0);
        RC_ASSERT(entry.estimator.slowness(second, entry.now) <= 16.0);
        RC_ASSERT(entry.estimator.limit(first, entry.now).value_or(1) >= 1U);
    }
}

} // namespace lycheelanding::decisions::routing

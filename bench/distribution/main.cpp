#include "fleetsimulation.h"

#include "lycheelanding/configuration/configurationrecord.h"

#include <fmt/format.h>

#include <cstdlib>
#include <string>

// Measures how long an accepted version takes to become active on all processes, how many bodies are sent for it, and
// the rate of store calls in normal operation, during a store outage and after it. Arguments: [--seed N].

namespace {

using namespace lycheelanding;
using namespace std::chrono_literals;

double seconds(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void measurePropagation(const bench::FleetPlan &plan, bool isStoreUp)
{
    bench::FleetSimulation fleet(plan);
    fleet.run(5s);
    fleet.accept(core::ConfigurationVersion(1));
    fleet.run(20s);
    const auto bodiesBefore = fleet.bodiesSent();
    const auto acceptedAt = fleet.now();
    fleet.accept(core::ConfigurationVersion(2));
    fleet.setStoreUp(isStoreUp);
    fleet.run(20s);
    const auto times = fleet.installationTimes(acceptedAt);
    fmt::print("  store {:<17} active on {} of {}: median {:.2f} s, 99 % {:.2f} s, last {:.2f} s; bodies {}, most by "
               "one process in two versions {}\n",
               isStoreUp ? "up" : "down afterwards", fleet.processesWithVersion(core::ConfigurationVersion(2)),
               times.size(), seconds(times[times.size() / 2]), seconds(times[times.size() * 99 / 100]),
               seconds(times.back()), fleet.bodiesSent() - bodiesBefore, fleet.maxBodiesByOneProcess());
}

/// Prints the rate of store calls over `time`.
void measureStoreCalls(bench::FleetSimulation &fleet, const char *name, core::Duration time)
{
    const auto before = fleet.storeCalls();
    fleet.run(time);
    const auto after = fleet.storeCalls();
    fmt::print("  store calls, {:<28} reads {:.2f}/s, watches {:.2f}/s, stale processes {}\n", name,
               double(after.reads - before.reads) / seconds(time),
               double(after.watches - before.watches) / seconds(time), fleet.staleProcesses());
}

void measureFleet(bench::FleetPlan plan)
{
    fmt::print("{} entries, {} sides, {} links\n", plan.entries, plan.sides, bench::FleetSimulation(plan).links());
    measurePropagation(plan, true);
    measurePropagation(plan, false);
    bench::FleetSimulation fleet(plan);
    fleet.accept(core::ConfigurationVersion(1));
    fleet.run(60s);
    measureStoreCalls(fleet, "calm", 120s);
    fleet.setStoreUp(false);
    measureStoreCalls(fleet, "first 10 s of an outage", 10s);
    fleet.run(100s);
    measureStoreCalls(fleet, "end of an outage of 2 min", 10s);
    fleet.setStoreUp(true);
    measureStoreCalls(fleet, "first second after outage", 1s);
    measureStoreCalls(fleet, "next 29 s", 29s);
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seed = argc == 3 && std::string(argv[1]) == "--seed" ? std::strtoull(argv[2], nullptr, 10) : 1;
    measureFleet({.entries = 6, .sides = 20, .dataCentres = 3, .seed = seed});
    measureFleet({.entries = 39, .sides = 81, .dataCentres = 3, .seed = seed});
    measureFleet({.entries = 390, .sides = 810, .dataCentres = 3, .seed = seed});
    return 0;
}

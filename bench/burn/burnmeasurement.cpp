#include "lycheelanding/report/burntracker.h"

#include <fmt/format.h>

#include <unistd.h>

#include <chrono>
#include <fstream>
#include <string>

// Measures the memory per series, the time per record and the size of the GET /burn body of one entry with every series
// in use.

namespace {

using namespace lycheelanding;

constexpr int organisations = 390;
constexpr int models = 14;

std::size_t residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::vector<configuration::Objective> objectives()
{
    std::vector<configuration::Objective> list(models);
    for (int model = 0; model < models; ++model) {
        list[std::size_t(model)].model = core::ModelId(fmt::format("model-{}", model));
    }
    return list;
}

void recordAll(report::BurnTracker &tracker, core::TimePoint now)
{
    for (int organisation = 0; organisation < organisations; ++organisation) {
        for (int model = 0; model < models; ++model) {
            const report::BurnKey key{report::TargetKind::Model, fmt::format("model-{}", model),
                                      core::OrganisationId(fmt::format("organisation-{}", organisation))};
            tracker.record({key, true, std::chrono::milliseconds(100), 200, 1}, now);
        }
    }
}

} // namespace

int main()
{
    report::BurnTracker tracker;
    tracker.setObjectives(objectives());
    core::ManualClock clock;
    const auto before = residentBytes();
    recordAll(tracker, clock.now());
    const auto after = residentBytes();

    constexpr int rounds = 100;
    const auto begin = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round) {
        clock.advance(std::chrono::seconds(10));
        recordAll(tracker, clock.now());
    }
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    const auto records = rounds * organisations * models;
    const auto body = report::toJson(tracker.counts(clock.now()));
    fmt::print("series {}  resident bytes {}  per series {}\n", tracker.seriesCount(), after - before,
               (after - before) / tracker.seriesCount());
    fmt::print("record {} ns  GET /burn body {} bytes\n",
               std::chrono::duration_cast<std::chrono::nanoseconds>(elapsed).count() / records, body.size());
    return 0;
}

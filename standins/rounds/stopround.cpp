#include "rounds/stopround.h"

#include "harness/deployment.h"
#include "harness/loadgenerator.h"

#include <thread>

namespace lycheelanding::rounds {

namespace {

using harness::Deployment;
using Json = nlohmann::json;

constexpr std::size_t callers = 6;
constexpr std::size_t tokens = 50;
constexpr std::chrono::seconds stopTimeout(30);
constexpr std::chrono::milliseconds maxDelayBetweenStops(300);
constexpr std::uint64_t baseDrainLimitMs = 20'000;
constexpr int statusOk = 200;

class StopRound
{
public:
    StopRound(std::uint64_t seed, std::size_t stops) : m_random(seed), m_stops(stops), m_deployment(plan()) { }

    RoundResult run()
    {
        m_deployment.start();
        harness::LoadGenerator load(m_deployment, callers, tokens);
        for (std::size_t number = 0; number < m_stops; ++number) {
            std::this_thread::sleep_for(std::chrono::milliseconds(m_random.nextBelow(maxDelayBetweenStops.count())));
            stopRandomProcess();
        }
        checkOutcomes(load.stop());
        return m_result;
    }

private:
    static harness::DeploymentPlan plan()
    {
        harness::DeploymentPlan plan;
        plan.plainServices = 0;
        plan.entrySettings = {{"notReadyTimeMs", 400}};
        return plan;
    }

    void stopRandomProcess()
    {
        ++m_result.faults;
        const bool isSide = m_random.nextBelow(2) == 0;
        auto &side = m_deployment.sides()[m_random.nextBelow(m_deployment.sides().size())];
        auto &entry = m_deployment.entries()[m_random.nextBelow(m_deployment.entries().size())];
        auto &process = isSide ? *side.process : *entry.process;
        const auto begin = std::chrono::steady_clock::now();
        process.terminate();
        changeConfiguration(entry.vm);
        const auto exitCode = process.waitForExit(stopTimeout);
        const auto took = std::chrono::steady_clock::now() - begin;
        m_result.maxRecoveryTime
            = std::max(m_result.maxRecoveryTime, std::chrono::duration_cast<std::chrono::milliseconds>(took));
        if (exitCode != EXIT_SUCCESS) {
            m_result.violations.push_back((isSide ? side.vm : entry.vm) + " did not exit with code 0");
        }
        if (isSide) {
            m_deployment.startSide(side);
            m_deployment.putSideInVmList(side);
        } else {
            m_deployment.startEntry(entry);
            m_deployment.putEntryInVmList(entry);
        }
        m_deployment.waitUntilRouted(m_deployment.sides().size());
    }

    void changeConfiguration(const std::string &stoppedEntry)
    {
        const std::size_t patchEntry = m_deployment.entries()[0].vm == stoppedEntry ? 1 : 0;
        const Json limits{{"drainLimitMs", baseDrainLimitMs + m_version}};
        const Json patch{{{"op", "add"}, {"path", "/limits"}, {"value", limits}}};
        const auto answer = m_deployment.submitPatch(patchEntry, m_version, "stop-" + std::to_string(m_version), patch);
        if (core::isOk(answer) && core::valueOf(answer).status == statusOk) {
            ++m_version;
        }
    }

    void checkOutcomes(const harness::LoadOutcome &outcome)
    {
        m_result.requests = outcome.sent;
        if (outcome.cutOff > 0 || outcome.mismatched > 0) {
            m_result.violations.push_back(std::to_string(outcome.cutOff) + " answers cut off, "
                                          + std::to_string(outcome.mismatched) + " incomplete or mismatched");
            for (const auto &[kind, example] : outcome.examples) {
                auto &line = m_result.violations.emplace_back(kind);
                line += ": ";
                line += example;
            }
        }
        if (outcome.complete == 0) {
            m_result.violations.emplace_back("no request was answered");
        }
    }

    core::RandomSequence m_random;
    const std::size_t m_stops;
    std::uint64_t m_version = 1;
    Deployment m_deployment;
    RoundResult m_result;
};

} // namespace

RoundResult runStopRound(std::uint64_t seed, std::size_t stops)
{
    return StopRound(seed, stops).run();
}

} // namespace lycheelanding::rounds

#include "rounds/mapswitchround.h"

#include "harness/deployment.h"

#include <algorithm>
#include <thread>

namespace lycheelanding::rounds {

namespace {

using harness::Deployment;
using Json = nlohmann::json;

constexpr std::size_t engines = 3;
constexpr std::chrono::milliseconds maxFaultDuration(1500);
constexpr std::chrono::milliseconds maxDelayBetweenFaults(400);
constexpr std::chrono::milliseconds recoveryTimeout(20'000);
constexpr std::size_t requiredSteps = 20;

enum class Fault : std::uint8_t {
    SideKilled,
    SideSuspended,
    SideCutOff,
    SideDelayed,
    EngineStalled,
    EngineReplaced,
    StoreDown,
};

constexpr std::size_t faultKinds = 7;

class MapSwitchRound
{
public:
    MapSwitchRound(std::uint64_t seed, std::size_t faults, bool honoursFencing)
        : m_random(seed), m_faults(faults), m_deployment(plan(honoursFencing))
    { }

    RoundResult run()
    {
        m_deployment.start();
        m_deployment.waitFor("first map switch", [this] { return mapSwitches() > 1; });
        for (std::size_t number = 0; number < m_faults; ++number) {
            runFault();
        }
        // No map switch may stay unfinished: the coordinator must become idle. Whether it starts another one depends
        // on the planner, so that is not checked.
        m_deployment.waitFor("an idle coordinator after the faults", [this] { return isCoordinatorIdle(); });
        recordMixedSteps();
        return m_result;
    }

private:
    static harness::DeploymentPlan plan(bool honoursFencing)
    {
        harness::DeploymentPlan plan;
        plan.entries = 1;
        plan.engines = engines;
        plan.ranksPerEngine = 2;
        plan.plainServices = 0;
        plan.usesProxies = true;
        plan.honoursFencing = honoursFencing;
        // Expert popularity that changes within a second keeps the planner moving experts.
        plan.engineSettings = {{"driftPeriodSteps", 100}};
        plan.configuration = {{"experts",
                               {{"planIntervalMs", 250},
                                {"movementWeight", 0.0},
                                {"weightStoreBytesPerSecond", 1'000'000'000},
                                {"expertBytes", 100'000}}}};
        return plan;
    }

    Json steps() { return m_deployment.getJson(m_deployment.sides()[0].backend + "/steps"); }

    std::uint64_t lastStep() { return steps().value("lastStep", std::uint64_t(0)); }

    std::size_t mapSwitches() { return steps().value("switches", Json::array()).size(); }

    bool isCoordinatorIdle()
    {
        const auto status = m_deployment.getJson(m_deployment.sides()[0].http + "/status");
        return status.value("rankGroup", Json::object()).value("phase", "") == "idle";
    }

    /// Must be called before the engine with rank 0 is replaced, as the counts are lost with it.
    void recordMixedSteps()
    {
        const auto mixed = steps().value("mixedSteps", std::uint64_t(0));
        if (mixed > 0) {
            m_result.violations.push_back(std::to_string(mixed) + " steps with more than one map");
        }
        m_result.requests += lastStep();
    }

    void runFault()
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(m_random.nextBelow(maxDelayBetweenFaults.count())));
        const auto fault = static_cast<Fault>(m_random.nextBelow(faultKinds));
        auto &side = m_deployment.sides()[m_random.nextBelow(engines)];
        const auto duration = std::chrono::milliseconds(m_random.nextBelow(maxFaultDuration.count()));
        ++m_result.faults;
        injectFault(fault, side);
        std::this_thread::sleep_for(duration);
        clearFault(fault, side);
        waitForSteps(fault, side.vm);
    }

    void injectFault(Fault fault, harness::SideNode &side)
    {
        switch (fault) {
        case Fault::SideKilled:
            side.process->kill();
            break;
        case Fault::SideSuspended:
            side.process->suspend();
            break;
        case Fault::SideCutOff:
            m_deployment.controlProxy(side.vm, {{"mode", "cut"}});
            break;
        case Fault::SideDelayed:
            m_deployment.controlProxy(side.vm, {{"mode", "delay"}, {"delayMs", 150}});
            break;
        case Fault::EngineStalled:
            m_deployment.postJson(side.backend + "/control", {{"mode", "stall"}});
            break;
        case Fault::EngineReplaced:
            recordMixedSteps();
            m_deployment.restartEngine(side);
            break;
        case Fault::StoreDown:
            m_deployment.controlKeyValue({{"mode", "down"}});
            break;
        }
    }

    void clearFault(Fault fault, harness::SideNode &side)
    {
        switch (fault) {
        case Fault::SideKilled:
            m_deployment.startSide(side);
            m_deployment.putSideInVmList(side);
            break;
        case Fault::SideSuspended:
            side.process->resume();
            break;
        case Fault::SideCutOff:
        case Fault::SideDelayed:
            m_deployment.controlProxy(side.vm, {{"mode", "pass"}});
            break;
        case Fault::EngineStalled:
            m_deployment.postJson(side.backend + "/control", {{"mode", "up"}});
            break;
        case Fault::EngineReplaced:
            break;
        case Fault::StoreDown:
            m_deployment.controlKeyValue({{"mode", "up"}});
            break;
        }
    }

    /// Checks that the group continues stepping after the fault has ended.
    void waitForSteps(Fault fault, const std::string &vm)
    {
        const auto begin = std::chrono::steady_clock::now();
        const auto initialStep = lastStep();
        try {
            m_deployment.waitFor(
                "steps", [&] { return lastStep() >= initialStep + requiredSteps; }, recoveryTimeout);
        } catch (const std::exception &) {
            m_result.violations.push_back("the group does not continue stepping after fault "
                                          + std::to_string(static_cast<int>(fault)) + " at " + vm + ": "
                                          + steps().dump());
        }
        const auto took = std::chrono::steady_clock::now() - begin;
        m_result.maxRecoveryTime
            = std::max(m_result.maxRecoveryTime, std::chrono::duration_cast<std::chrono::milliseconds>(took));
    }

    core::RandomSequence m_random;
    const std::size_t m_faults;
    Deployment m_deployment;
    RoundResult m_result;
};

} // namespace

RoundResult runMapSwitchRound(std::uint64_t seed, std::size_t faults, bool honoursFencing)
{
    return MapSwitchRound(seed, faults, honoursFencing).run();
}

} // namespace lycheelanding::rounds

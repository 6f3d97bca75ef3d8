#include "rounds/leavinground.h"

#include "harness/deployment.h"

#include <atomic>
#include <stop_token>
#include <thread>

namespace lycheelanding::rounds {

namespace {

using harness::Deployment;
using Json = nlohmann::json;

constexpr std::chrono::milliseconds newWorkTimeout(5000);
constexpr std::chrono::milliseconds observationTime(1500);
constexpr std::chrono::milliseconds callInterval(5);
constexpr std::chrono::milliseconds vmListLag(1000);

/// How the entries learn that a VM leaves.
enum class LeaveSignal : std::uint8_t {
    /// The VM list reports the VM as leaving, after a lag; messages from the side are lost.
    VmListOnly,
    /// The side gets SIGTERM; the VM list still reports its VM as live.
    StopSignalOnly,
    /// The connections to the side are frozen; there is no other sign that it has gone.
    InactivityOnly,
    OperatorDrain,
};

constexpr std::size_t leaveSignalKinds = 4;

class LeavingRound
{
public:
    LeavingRound(std::uint64_t seed, std::size_t departures)
        : m_random(seed), m_departures(departures), m_deployment(plan())
    { }

    RoundResult run()
    {
        m_deployment.start();
        m_deployment.postJson(m_deployment.vmListUrl() + "/control", {{"lagMs", vmListLag.count()}});
        const std::jthread caller([this](const std::stop_token &stop) { sendCalls(stop); });
        for (std::size_t number = 0; number < m_departures; ++number) {
            runDeparture(number);
        }
        m_result.requests = m_calls;
        return m_result;
    }

private:
    static harness::DeploymentPlan plan()
    {
        harness::DeploymentPlan plan;
        plan.engines = 0;
        plan.plainServices = 3;
        plan.usesProxies = true;
        return plan;
    }

    /// Each call has its own body; a call to an unresponsive side ends at its timeout.
    void sendCalls(const std::stop_token &stop)
    {
        for (std::size_t number = 0; !stop.stop_requested(); ++number) {
            auto request = m_deployment.callerRequest(number % 2, "fabricators", "/run/release");
            request.method = "POST";
            request.headers.add("Request-Timeout", "0.3");
            request.body = "call-" + std::to_string(number);
            m_deployment.send(std::move(request));
            ++m_calls;
            std::this_thread::sleep_for(callInterval);
        }
    }

    std::size_t runsOn(const harness::SideNode &side)
    {
        return m_deployment.getJson(side.backend + "/journal").value("runs", Json::array()).size();
    }

    void runDeparture(std::size_t number)
    {
        const auto signal
            = static_cast<LeaveSignal>((number + m_random.nextBelow(leaveSignalKinds)) % leaveSignalKinds);
        auto &side = m_deployment.sides()[m_random.nextBelow(m_deployment.sides().size())];
        ++m_result.faults;
        const auto begin = std::chrono::steady_clock::now();
        startDeparture(signal, side);
        // Runs may begin until newWorkTimeout has passed, and none after it.
        auto runs = runsOn(side);
        auto lastRunAt = begin;
        while (std::chrono::steady_clock::now() - begin < newWorkTimeout + observationTime) {
            const auto current = runsOn(side);
            if (current != runs) {
                runs = current;
                lastRunAt = std::chrono::steady_clock::now();
            }
            const bool isQuiet = std::chrono::steady_clock::now() - lastRunAt > observationTime + vmListLag;
            if (isQuiet) {
                break;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(lastRunAt - begin);
        m_result.maxRecoveryTime = std::max(m_result.maxRecoveryTime, took);
        if (took > newWorkTimeout) {
            m_result.violations.push_back(side.vm + " still received new work after " + std::to_string(took.count())
                                          + " ms, leave signal " + std::to_string(static_cast<int>(signal)));
        }
        rejoin(signal, side);
    }

    void startDeparture(LeaveSignal signal, harness::SideNode &side)
    {
        switch (signal) {
        case LeaveSignal::VmListOnly:
            m_deployment.putSideInVmList(side, "leaving");
            m_deployment.controlProxy(side.vm, {{"mode", "oneWayIn"}});
            break;
        case LeaveSignal::StopSignalOnly:
            side.process->terminate();
            break;
        case LeaveSignal::InactivityOnly:
            m_deployment.controlProxy(side.vm, {{"mode", "freeze"}});
            break;
        case LeaveSignal::OperatorDrain:
            m_deployment.postJson(m_deployment.entries()[0].http + "/drain/" + side.vm, Json::object());
            break;
        }
    }

    void rejoin(LeaveSignal signal, harness::SideNode &side)
    {
        m_deployment.controlProxy(side.vm, {{"mode", "pass"}});
        if (signal != LeaveSignal::InactivityOnly) {
            side.process->kill();
            m_deployment.putSideInVmList(side);
            // A side that starts while its VM is still listed as leaving would consider itself leaving.
            std::this_thread::sleep_for(2 * vmListLag);
            m_deployment.startSide(side);
        }
        m_deployment.waitUntilRouted(m_deployment.sides().size());
    }

    core::RandomSequence m_random;
    const std::size_t m_departures;
    Deployment m_deployment;
    std::atomic<std::size_t> m_calls = 0;
    RoundResult m_result;
};

} // namespace

RoundResult runLeavingRound(std::uint64_t seed, std::size_t departures)
{
    return LeavingRound(seed, departures).run();
}

} // namespace lycheelanding::rounds

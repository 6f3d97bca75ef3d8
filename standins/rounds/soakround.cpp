#include "rounds/soakround.h"

#include "harness/deployment.h"
#include "rounds/eventlog.h"
#include "rounds/soakcallers.h"
#include "rounds/soakoperator.h"

#include <atomic>
#include <functional>
#include <thread>

namespace lycheelanding::rounds {

namespace {

using harness::Deployment;
using harness::SideNode;
using Json = nlohmann::json;
using Milliseconds = std::chrono::milliseconds;

constexpr Milliseconds maxDelayBetweenEvents(1500);
constexpr Milliseconds maxDownTime(400);
constexpr Milliseconds maxFaultDuration(2000);
constexpr std::uint64_t maxSlowFactor = 8;
constexpr std::uint64_t maxSlowCallMs = 800;
/// Longer than the drain limits of the operator's patches.
constexpr std::chrono::seconds exitTimeout(100);
constexpr std::uint64_t drainLimitMs = 60'000;

void sleepBelow(core::RandomSequence &random, Milliseconds limit)
{
    std::this_thread::sleep_for(Milliseconds(random.nextBelow(limit.count())));
}

std::string withoutScheme(const std::string &url)
{
    return url.substr(std::string("http://").size());
}

class SoakRound
{
public:
    SoakRound(std::uint64_t seed, const SoakPlan &plan)
        : m_random(seed), m_plan(plan), m_log(seed), m_deployment(deploymentPlan(plan))
    { }

    SoakResult run()
    {
        m_deployment.start();
        std::vector<std::string> addresses;
        for (const auto &entry : m_deployment.entries()) {
            addresses.push_back(withoutScheme(entry.http));
        }
        m_operator.emplace(m_deployment, addresses, m_log);
        m_callers.emplace(addresses, m_plan.callers, m_random.next(), m_log);
        startSeries();
        for (auto &thread : m_series) {
            thread.join();
        }
        m_callers->stop();
        m_callers->checkRuns(runsById());
        return result();
    }

private:
    using Event = std::function<void(core::RandomSequence &)>;

    static harness::DeploymentPlan deploymentPlan(const SoakPlan &soak)
    {
        harness::DeploymentPlan plan;
        plan.entries = soak.entries;
        plan.engines = soak.engines;
        plan.plainServices = soak.plainServices;
        plan.entrySettings = {{"notReadyTimeMs", 400}};
        plan.configuration = {{"limits", {{"drainLimitMs", drainLimitMs}}}};
        return plan;
    }

    void startSeries()
    {
        auto &entries = m_deployment.entries();
        for (std::size_t index = 0; index < entries.size(); ++index) {
            addSeries(entries[index].vm, [this, index](auto &random) { restartEntry(index, random); });
        }
        for (auto &side : m_deployment.sides()) {
            addSeries(side.vm, [this, &side](auto &random) { restartSide(side, random); });
            addSeries(side.vm + "-backend", [this, &side](auto &random) { disturbBackend(side, random); });
        }
        addSeries("operator", [this](auto &random) { m_operator->changeConfiguration(random); });
    }

    /// The events of one process follow each other with random delays, independently of those of other processes.
    void addSeries(const std::string &name, Event event)
    {
        m_series.emplace_back([this, name, event = std::move(event), seed = m_random.next()] {
            core::RandomSequence random(seed);
            try {
                for (std::size_t number = 0; number < m_plan.events; ++number) {
                    sleepBelow(random, maxDelayBetweenEvents);
                    event(random);
                    ++m_events;
                }
            } catch (const std::exception &exception) {
                m_log.recordViolation(name + ": the series of events ended with an exception: " + exception.what());
            }
        });
    }

    void restartEntry(std::size_t index, core::RandomSequence &random)
    {
        auto &entry = m_deployment.entries()[index];
        stopProcess(entry.vm, *entry.process);
        sleepBelow(random, maxDownTime);
        m_deployment.startEntry(entry);
        m_deployment.putEntryInVmList(entry);
        m_callers->setAddress(index, withoutScheme(entry.http));
        m_operator->setAddress(index, withoutScheme(entry.http));
        m_log.record(entry.vm + " started");
    }

    void restartSide(SideNode &side, core::RandomSequence &random)
    {
        stopProcess(side.vm, *side.process);
        sleepBelow(random, maxDownTime);
        m_deployment.startSide(side);
        m_deployment.putSideInVmList(side);
        m_log.record(side.vm + " started");
    }

    void stopProcess(const std::string &vm, harness::ChildProcess &process)
    {
        m_log.record(vm + " SIGTERM");
        const auto begin = std::chrono::steady_clock::now();
        process.terminate();
        if (process.waitForExit(exitTimeout) != EXIT_SUCCESS) {
            m_log.recordViolation(vm + " did not exit with code 0");
        }
        const auto took = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - begin);
        m_log.record(vm + " exited");
        const std::scoped_lock lock(m_mutex);
        m_maxStopTime = std::max(m_maxStopTime, took);
    }

    void disturbBackend(const SideNode &side, core::RandomSequence &random)
    {
        const bool isSilent = random.nextBelow(2) == 0;
        const Json slow{{"mode", "slow"},
                        {"factor", 2 + random.nextBelow(maxSlowFactor)},
                        {"delayMs", random.nextBelow(maxSlowCallMs)}};
        m_log.record(side.vm + "-backend " + (isSilent ? "silent" : "slow"));
        m_deployment.postJson(side.backend + "/control", isSilent ? Json{{"mode", "stall"}} : slow);
        sleepBelow(random, maxFaultDuration);
        m_deployment.postJson(side.backend + "/control", {{"mode", "up"}});
        m_log.record(side.vm + "-backend up");
    }

    std::map<std::string, std::size_t> runsById()
    {
        std::map<std::string, std::size_t> runs;
        for (const auto &side : m_deployment.sides()) {
            const auto journal = m_deployment.getJson(side.backend + "/journal");
            for (const auto &run : journal.value("runs", Json::array())) {
                ++runs[run.value("operation", "")];
            }
            for (const auto &request : journal.value("requests", Json::array())) {
                const auto body = Json::parse(request.value("body", ""));
                const auto prompt = body.at("messages").at(0).at("content").get<std::string>();
                ++runs[prompt.substr(0, prompt.find(' '))];
            }
        }
        return runs;
    }

    SoakResult result()
    {
        SoakResult result;
        result.counts = {m_callers->count(SoakOutcome::Answered), m_callers->count(SoakOutcome::Refused),
                         m_callers->count(SoakOutcome::Unread)};
        if (result.counts.answered == 0) {
            m_log.recordViolation("no request was answered");
        }
        result.round.requests = m_callers->sent();
        result.round.faults = m_events;
        result.round.violations = m_log.violations();
        result.round.maxRecoveryTime = m_maxStopTime;
        return result;
    }

    core::RandomSequence m_random;
    const SoakPlan m_plan;
    EventLog m_log;
    Deployment m_deployment;
    std::mutex m_mutex;
    Milliseconds m_maxStopTime{0};
    std::atomic<std::size_t> m_events = 0;
    std::optional<SoakOperator> m_operator;
    std::optional<SoakCallers> m_callers;
    std::vector<std::thread> m_series;
};

} // namespace

SoakResult runSoakRound(std::uint64_t seed, const SoakPlan &plan)
{
    return SoakRound(seed, plan).run();
}

} // namespace lycheelanding::rounds

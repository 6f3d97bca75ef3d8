#include "rounds/answerround.h"

#include "harness/deployment.h"
#include "harness/loadgenerator.h"

#include <thread>

namespace lycheelanding::rounds {

namespace {

using harness::Deployment;

constexpr std::size_t callers = 8;
constexpr std::size_t tokens = 40;
constexpr std::size_t maxTruncationOffset = 4000;
constexpr std::chrono::milliseconds maxFaultDuration(500);
constexpr std::chrono::milliseconds delayAfterFault(200);

enum class Fault : std::uint8_t {
    LinkCut,
    LinkReset,
    LinkTruncated,
    LinkDelayed,
    LinkFrozen,
    SideKilled,
    EntryKilled,
};

constexpr std::size_t faultKinds = 7;

class AnswerRound
{
public:
    AnswerRound(std::uint64_t seed, std::size_t faults) : m_random(seed), m_faults(faults), m_deployment(plan()) { }

    RoundResult run()
    {
        m_deployment.start();
        harness::LoadGenerator load(m_deployment, callers, tokens);
        for (std::size_t number = 0; number < m_faults; ++number) {
            runFault();
        }
        const auto outcome = load.stop();
        m_result.requests = outcome.sent;
        if (outcome.mismatched > 0) {
            m_result.violations.push_back(std::to_string(outcome.mismatched)
                                          + " answers ended without an error but do not match their prompt: "
                                          + outcome.examples.at("foreign"));
        }
        if (outcome.complete == 0) {
            m_result.violations.emplace_back("no request was answered");
        }
        return m_result;
    }

private:
    static harness::DeploymentPlan plan()
    {
        harness::DeploymentPlan plan;
        plan.plainServices = 0;
        plan.usesProxies = true;
        return plan;
    }

    void runFault()
    {
        const auto fault = static_cast<Fault>(m_random.nextBelow(faultKinds));
        auto &side = m_deployment.sides()[m_random.nextBelow(m_deployment.sides().size())];
        auto &entry = m_deployment.entries()[m_random.nextBelow(m_deployment.entries().size())];
        const auto duration = std::chrono::milliseconds(m_random.nextBelow(maxFaultDuration.count()));
        ++m_result.faults;
        if (fault == Fault::SideKilled) {
            side.process->kill();
            m_deployment.startSide(side);
        } else if (fault == Fault::EntryKilled) {
            entry.process->kill();
            std::this_thread::sleep_for(duration);
            m_deployment.startEntry(entry);
            m_deployment.putEntryInVmList(entry);
        } else {
            m_deployment.controlProxy(side.vm, proxyControl(fault));
            std::this_thread::sleep_for(duration);
            m_deployment.controlProxy(side.vm, {{"mode", "pass"}});
        }
        const auto begin = std::chrono::steady_clock::now();
        m_deployment.waitUntilRouted(m_deployment.sides().size());
        const auto took = std::chrono::steady_clock::now() - begin;
        m_result.maxRecoveryTime
            = std::max(m_result.maxRecoveryTime, std::chrono::duration_cast<std::chrono::milliseconds>(took));
        std::this_thread::sleep_for(delayAfterFault);
    }

    nlohmann::json proxyControl(Fault fault)
    {
        switch (fault) {
        case Fault::LinkCut:
            return {{"mode", "cut"}};
        case Fault::LinkReset:
            return {{"mode", "reset"}};
        case Fault::LinkTruncated:
            return {{"mode", "truncate"}, {"afterBytes", m_random.nextBelow(maxTruncationOffset)}};
        case Fault::LinkDelayed:
            return {{"mode", "delay"}, {"delayMs", m_random.nextBelow(maxFaultDuration.count())}};
        default:
            return {{"mode", "freeze"}};
        }
    }

    core::RandomSequence m_random;
    const std::size_t m_faults;
    Deployment m_deployment;
    RoundResult m_result;
};

} // namespace

RoundResult runAnswerRound(std::uint64_t seed, std::size_t faults)
{
    return AnswerRound(seed, faults).run();
}

} // namespace lycheelanding::rounds

#include "rounds/atmostonceround.h"

#include "harness/deployment.h"

#include <array>
#include <map>
#include <thread>

namespace lycheelanding::rounds {

namespace {

using harness::Deployment;
using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr std::size_t maxAttempts = 4;
constexpr std::chrono::milliseconds retryDelay(100);
constexpr std::chrono::milliseconds maxFaultDelay(60);
constexpr std::chrono::seconds clientTimeout(6);

enum class Fault : std::uint8_t {
    None,
    SideKilled,
    SideSuspended,
    EntryKilled,
    EntrySuspended,
    StoreDown,
    StoreSlow,
    StoreAnswersLost,
    BackendAnswersLost,
};

constexpr std::size_t faultKinds = 9;

/// The answers to all attempts of one request, identified by its idempotency key.
struct KeyOutcome
{
    std::size_t answered = 0;
    std::size_t unknown = 0;
    std::size_t notRun = 0;
    bool hadFault = false;
    std::string lastAnswer;
};

class AtMostOnceRound
{
public:
    AtMostOnceRound(std::uint64_t seed, std::size_t requests)
        : m_random(seed), m_requests(requests), m_deployment(plan())
    { }

    RoundResult run()
    {
        m_deployment.start();
        for (std::size_t number = 0; number < m_requests; ++number) {
            runOne("key-" + std::to_string(number));
        }
        checkOutcomes();
        return m_result;
    }

private:
    static harness::DeploymentPlan plan()
    {
        harness::DeploymentPlan plan;
        plan.engines = 0;
        plan.entrySettings = {{"keyValueTimeoutMs", 300}, {"notReadyTimeMs", 200}};
        plan.configuration = {{"membership", {{"heartbeatIntervalMs", 100}, {"heartbeatTimeoutMs", 500}}}};
        return plan;
    }

    /// Sends one request, injects a fault meanwhile, and retries through the next entries until the request is
    /// answered or has had `maxAttempts` attempts.
    void runOne(const std::string &key)
    {
        const auto fault = static_cast<Fault>(m_random.nextBelow(faultKinds));
        const auto firstEntry = m_random.nextBelow(m_deployment.entries().size());
        auto &outcome = m_outcomes[key];
        outcome.hadFault = fault != Fault::None;
        m_result.faults += outcome.hadFault ? 1 : 0;
        const auto delay = std::chrono::milliseconds(m_random.nextBelow(maxFaultDelay.count()));
        std::thread caller([&] { call(key, firstEntry, outcome); });
        std::this_thread::sleep_for(delay);
        const auto target = m_random.nextBelow(2);
        injectFault(fault, target);
        caller.join();
        clearFault(fault, target);
        for (std::size_t attempt = 1; attempt < maxAttempts && outcome.answered == 0; ++attempt) {
            std::this_thread::sleep_for(retryDelay);
            call(key, (firstEntry + attempt) % m_deployment.entries().size(), outcome);
        }
    }

    void call(const std::string &key, std::size_t entry, KeyOutcome &outcome)
    {
        const auto delayMs = 20 + m_requestDelay;
        auto request
            = m_deployment.callerRequest(entry, "fabricators", "/run/release?delayMs=" + std::to_string(delayMs));
        request.method = "POST";
        request.timeout = clientTimeout;
        request.headers.add("Idempotency-Key", key);
        request.headers.add("Request-Timeout", "3");
        request.body = key;
        ++m_result.requests;
        const auto answer = m_deployment.send(std::move(request));
        if (!core::isOk(answer)) {
            const bool isUnsent = core::errorOf(answer).kind == core::ErrorKind::PeerUnreachable;
            ++(isUnsent ? outcome.notRun : outcome.unknown);
            return;
        }
        const auto &response = core::valueOf(answer);
        outcome.lastAnswer = response.body;
        if (response.status == statusOk) {
            ++outcome.answered;
            return;
        }
        const auto problem = Json::parse(response.body, nullptr, false);
        const bool hasNotRun = problem.is_object() && problem.value("ran", "") == "no";
        ++(hasNotRun ? outcome.notRun : outcome.unknown);
    }

    void injectFault(Fault fault, std::size_t target)
    {
        switch (fault) {
        case Fault::None:
            break;
        case Fault::SideKilled:
            m_deployment.sides()[target].process->kill();
            break;
        case Fault::SideSuspended:
            m_deployment.sides()[target].process->suspend();
            break;
        case Fault::EntryKilled:
            m_deployment.entries()[target].process->kill();
            break;
        case Fault::EntrySuspended:
            m_deployment.entries()[target].process->suspend();
            break;
        case Fault::StoreDown:
            m_deployment.controlKeyValue({{"mode", "down"}});
            break;
        case Fault::StoreSlow:
            m_deployment.controlKeyValue({{"mode", "slow"}, {"delayMs", 200}});
            break;
        case Fault::StoreAnswersLost:
            m_deployment.controlKeyValue({{"mode", "loseAnswers"}, {"count", 2}});
            break;
        case Fault::BackendAnswersLost:
            m_deployment.postJson(m_deployment.sides()[target].backend + "/control", {{"mode", "loseAnswers"}});
            break;
        }
    }

    void clearFault(Fault fault, std::size_t target)
    {
        auto &side = m_deployment.sides()[target];
        auto &entry = m_deployment.entries()[target];
        switch (fault) {
        case Fault::None:
            break;
        case Fault::SideKilled:
            m_deployment.startSide(side);
            m_deployment.putSideInVmList(side);
            break;
        case Fault::SideSuspended:
            side.process->resume();
            break;
        case Fault::EntryKilled:
            m_deployment.startEntry(entry);
            m_deployment.putEntryInVmList(entry);
            break;
        case Fault::EntrySuspended:
            entry.process->resume();
            break;
        case Fault::StoreDown:
        case Fault::StoreSlow:
        case Fault::StoreAnswersLost:
            m_deployment.controlKeyValue({{"mode", "up"}});
            break;
        case Fault::BackendAnswersLost:
            m_deployment.postJson(side.backend + "/control", {{"mode", "up"}});
            break;
        }
        if (fault != Fault::None) {
            waitForRecovery();
        }
    }

    void waitForRecovery()
    {
        const auto begin = std::chrono::steady_clock::now();
        m_deployment.waitUntilRouted(m_deployment.sides().size());
        const auto took = std::chrono::steady_clock::now() - begin;
        m_result.maxRecoveryTime
            = std::max(m_result.maxRecoveryTime, std::chrono::duration_cast<std::chrono::milliseconds>(took));
    }

    std::map<std::string, std::size_t> runsByKey()
    {
        std::map<std::string, std::size_t> runs;
        for (const auto &side : m_deployment.sides()) {
            for (const auto &run : m_deployment.getJson(side.backend + "/journal").value("runs", Json::array())) {
                ++runs[run.value("key", "")];
            }
        }
        return runs;
    }

    void checkOutcomes()
    {
        const auto runs = runsByKey();
        for (const auto &[key, outcome] : m_outcomes) {
            const auto found = runs.find(key);
            const auto count = found == runs.end() ? 0 : found->second;
            if (count > 1) {
                recordViolation(key, "ran " + std::to_string(count) + " times", outcome);
            }
            if (outcome.answered > 0 && count != 1) {
                recordViolation(key, "was answered but ran " + std::to_string(count) + " times", outcome);
            }
            if (outcome.answered == 0 && outcome.unknown == 0 && count != 0) {
                recordViolation(key, "was always refused as not run, but it ran", outcome);
            }
            if (!outcome.hadFault && outcome.answered == 0) {
                recordViolation(key, "had no fault but was not answered", outcome);
            }
        }
    }

    void recordViolation(const std::string &key, const std::string &what, const KeyOutcome &outcome)
    {
        m_result.violations.push_back(key + " " + what + "; last answer: " + outcome.lastAnswer);
    }

    core::RandomSequence m_random;
    const std::size_t m_requests;
    const std::size_t m_requestDelay = 30;
    Deployment m_deployment;
    std::map<std::string, KeyOutcome> m_outcomes;
    RoundResult m_result;
};

} // namespace

RoundResult runAtMostOnceRound(std::uint64_t seed, std::size_t requests)
{
    return AtMostOnceRound(seed, requests).run();
}

} // namespace lycheelanding::rounds

#include "rounds/configurationround.h"

#include "harness/deployment.h"
#include "rounds/versionmonitor.h"

#include <map>
#include <thread>

namespace lycheelanding::rounds {

namespace {

using harness::Deployment;
using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr std::chrono::milliseconds activationTimeout(10'000);
constexpr std::chrono::milliseconds maxOutage(1500);
constexpr std::chrono::milliseconds retryDelay(200);
constexpr std::size_t maxAttempts = 40;
constexpr std::uint64_t firstVersion = 1;
constexpr std::uint64_t baseDrainLimitMs = 10'000;

enum class Fault : std::uint8_t {
    None,
    StoreDown,
    StoreSlow,
    StoreAnswersLost,
    EntryKilled,
    SideKilled,
};

constexpr std::size_t faultKinds = 6;

/// An operator's patch and its final outcome.
struct Submission
{
    std::string id;
    std::uint64_t value = 0;
    std::uint64_t acceptedAs = 0;
    bool isConflict = false;
};

class ConfigurationRound
{
public:
    ConfigurationRound(std::uint64_t seed, std::size_t patches)
        : m_random(seed), m_patches(patches), m_deployment(plan())
    { }

    RoundResult run()
    {
        m_deployment.start();
        {
            VersionMonitor monitor(m_deployment);
            for (std::size_t number = 0; number < m_patches; ++number) {
                runOne(monitor);
            }
            for (const auto &violation : monitor.stop()) {
                m_result.violations.push_back(violation);
            }
        }
        checkHistory();
        return m_result;
    }

private:
    static harness::DeploymentPlan plan()
    {
        harness::DeploymentPlan plan;
        plan.entries = 3;
        plan.engines = 0;
        plan.entrySettings = {{"keyValueTimeoutMs", 300}};
        return plan;
    }

    /// Two operators submit patches against the same version, each through random entries, while a fault is injected.
    void runOne(VersionMonitor &monitor)
    {
        const auto fault = static_cast<Fault>(m_random.nextBelow(faultKinds));
        m_result.faults += fault == Fault::None ? 0 : 1;
        const auto target = m_random.nextBelow(2);
        Submission first = nextSubmission();
        Submission second = nextSubmission();
        const auto seeds = std::pair(m_random.next(), m_random.next());
        std::thread firstOperator([&] { submit(first, seeds.first); });
        std::thread secondOperator([&] { submit(second, seeds.second); });
        std::thread faults([&] { injectAndClearFault(fault, target); });
        firstOperator.join();
        secondOperator.join();
        const auto acceptedAt = std::chrono::steady_clock::now();
        checkRace(first, second);
        faults.join();
        waitUntilActive(monitor, acceptedAt, fault);
    }

    Submission nextSubmission()
    {
        const auto number = m_submissions++;
        return {"patch-" + std::to_string(number), baseDrainLimitMs + number, 0, false};
    }

    /// Retries the patch with the same id, through random entries, until it is accepted or conflicts.
    void submit(Submission &submission, std::uint64_t seed)
    {
        core::RandomSequence random(seed);
        const Json add{{{"op", "add"}, {"path", "/limits"}, {"value", {{"drainLimitMs", submission.value}}}}};
        for (std::size_t attempt = 0; attempt < maxAttempts; ++attempt) {
            const auto entry = random.nextBelow(m_deployment.entries().size());
            const auto answer = m_deployment.submitPatch(entry, m_version, submission.id, add);
            if (core::isOk(answer) && core::valueOf(answer).status == statusOk) {
                submission.acceptedAs = Json::parse(core::valueOf(answer).body).at("version").get<std::uint64_t>();
                return;
            }
            const auto problem
                = core::isOk(answer) ? Json::parse(core::valueOf(answer).body, nullptr, false) : Json::object();
            if (problem.is_object() && problem.value("kind", "") == "versionConflict") {
                submission.isConflict = true;
                return;
            }
            std::this_thread::sleep_for(retryDelay);
        }
    }

    void injectAndClearFault(Fault fault, std::size_t target)
    {
        const auto outage = std::chrono::milliseconds(m_random.nextBelow(maxOutage.count()));
        auto &entry = m_deployment.entries()[target];
        auto &side = m_deployment.sides()[target];
        switch (fault) {
        case Fault::None:
            return;
        case Fault::StoreDown:
            m_deployment.controlKeyValue({{"mode", "down"}});
            break;
        case Fault::StoreSlow:
            m_deployment.controlKeyValue({{"mode", "slow"}, {"delayMs", 250}});
            break;
        case Fault::StoreAnswersLost:
            m_deployment.controlKeyValue({{"mode", "loseAnswers"}, {"count", 2}});
            break;
        case Fault::EntryKilled:
            entry.process->kill();
            break;
        case Fault::SideKilled:
            side.process->kill();
            break;
        }
        std::this_thread::sleep_for(outage);
        if (fault == Fault::EntryKilled) {
            m_deployment.startEntry(entry);
            m_deployment.putEntryInVmList(entry);
        } else if (fault == Fault::SideKilled) {
            m_deployment.startSide(side);
            m_deployment.putSideInVmList(side);
        } else {
            m_deployment.controlKeyValue({{"mode", "up"}});
        }
    }

    void checkRace(const Submission &first, const Submission &second)
    {
        m_result.requests += 2;
        const auto winners = (first.acceptedAs > 0 ? 1 : 0) + (second.acceptedAs > 0 ? 1 : 0);
        if (winners != 1) {
            m_result.violations.push_back("of patches " + first.id + " and " + second.id + " against version "
                                          + std::to_string(m_version) + " " + std::to_string(winners)
                                          + " were accepted");
        }
        for (const auto *submission : {&first, &second}) {
            if (submission->acceptedAs > 0) {
                m_accepted[submission->acceptedAs] = *submission;
                m_version = std::max(m_version, submission->acceptedAs);
            }
        }
    }

    void waitUntilActive(VersionMonitor &monitor, std::chrono::steady_clock::time_point acceptedAt, Fault fault)
    {
        const auto processes = m_deployment.entries().size() + m_deployment.sides().size();
        // For a killed process the time limit runs from its restart, at most maxOutage later.
        const bool wasKilled = fault == Fault::EntryKilled || fault == Fault::SideKilled;
        const auto timeout = activationTimeout + (wasKilled ? maxOutage : std::chrono::milliseconds(0));
        while (true) {
            std::size_t current = 0;
            for (const auto &[vm, version] : monitor.readVersions()) {
                current += version >= m_version ? 1 : 0;
            }
            const auto took
                = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - acceptedAt);
            if (current == processes) {
                m_result.maxRecoveryTime = std::max(m_result.maxRecoveryTime, took);
                return;
            }
            if (took > timeout) {
                m_result.violations.push_back("version " + std::to_string(m_version) + " is active on "
                                              + std::to_string(current) + " of " + std::to_string(processes)
                                              + " processes after " + std::to_string(took.count()) + " ms");
                return;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }

    /// Checks that the stored history holds each accepted patch once, under the version reported to its operator.
    void checkHistory()
    {
        const auto history = m_deployment.getJson(m_deployment.entries()[0].http + "/configuration/history");
        std::map<std::string, std::uint64_t> versions;
        for (const auto &item : history.value("history", Json::array())) {
            const auto id = item.value("patchId", "");
            const auto isNew = versions.emplace(id, item.value("version", std::uint64_t(0))).second;
            if (!isNew) {
                m_result.violations.push_back(id + " was applied twice");
            }
        }
        for (const auto &[version, submission] : m_accepted) {
            const auto found = versions.find(submission.id);
            if (found == versions.end() || found->second != version) {
                m_result.violations.push_back(submission.id + " was accepted as version " + std::to_string(version)
                                              + " but the history has no such entry");
            }
        }
        if (versions.size() != m_accepted.size() + firstVersion) {
            m_result.violations.push_back("the history has " + std::to_string(versions.size()) + " patches, "
                                          + std::to_string(m_accepted.size() + firstVersion) + " were accepted");
        }
    }

    core::RandomSequence m_random;
    const std::size_t m_patches;
    Deployment m_deployment;
    std::uint64_t m_version = firstVersion;
    std::size_t m_submissions = 0;
    std::map<std::uint64_t, Submission> m_accepted;
    RoundResult m_result;
};

} // namespace

RoundResult runConfigurationRound(std::uint64_t seed, std::size_t patches)
{
    return ConfigurationRound(seed, patches).run();
}

} // namespace lycheelanding::rounds

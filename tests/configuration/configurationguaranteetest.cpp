#include "harness/deployment.h"

#include "lycheelanding/control/controltool.h"

#include <gtest/gtest.h>

#include <atomic>
#include <map>
#include <set>
#include <thread>

namespace lycheelanding::tests::configuration {

namespace {

using control::ExitCode;
using harness::Deployment;
using Json = nlohmann::json;
using namespace std::chrono_literals;

constexpr auto activationTimeout = 10s;

harness::DeploymentPlan smallPlan()
{
    harness::DeploymentPlan plan;
    plan.entries = 3;
    plan.engines = 0;
    plan.plainServices = 2;
    return plan;
}

Json weightPatch(double weight)
{
    return {{{"op", "add"}, {"path", "/organisations/0/weight"}, {"value", weight}}};
}

/// A deployment that lycheectl operates, with a check that the active version of an entry never decreases.
class ConfigurationGuaranteeTest : public testing::Test
{
protected:
    ConfigurationGuaranteeTest() : m_deployment(smallPlan()) { m_deployment.start(); }

    control::CommandResult runLycheectl(std::vector<std::string> arguments)
    {
        for (const auto &entry : m_deployment.entries()) {
            arguments.insert(arguments.end(), {"--entry", entry.http});
        }
        arguments.emplace_back("--json");
        return control::runTool(arguments, {.timeout = 3s, .initialDelay = 100ms, .maxDelay = 500ms});
    }

    control::CommandResult patch(std::uint64_t version, const std::string &id, double weight)
    {
        return runLycheectl({"config", "patch", "--expect", std::to_string(version), "--patch-id", id, "--patch",
                             weightPatch(weight).dump()});
    }

    /// The version of each process. Fails when the version of an entry is lower than before in the same incarnation.
    std::map<std::string, std::uint64_t> readVersions()
    {
        auto versions = m_deployment.versions();
        for (const auto &entry : m_deployment.entries()) {
            const auto version = m_deployment.getJson(entry.http + "/configuration/status").value("version", 0UL);
            auto &highest = m_highestVersions[entry.http];
            EXPECT_GE(version, highest) << entry.vm;
            highest = std::max<std::uint64_t>(highest, version);
        }
        return versions;
    }

    void waitUntilActive(std::uint64_t version)
    {
        const auto isEverywhere = [&] {
            const auto versions = readVersions();
            return versions.size() == 5 && std::all_of(versions.begin(), versions.end(), [&](const auto &row) {
                       return row.second == version;
                   });
        };
        m_deployment.waitFor("version " + std::to_string(version) + " everywhere", isEverywhere, activationTimeout);
    }

    void setStoreMode(const Json &mode) { m_deployment.postJson(m_deployment.keyValueUrl() + "/control", mode); }

    /// The value of a metric in the /metrics of the first entry, which lycheectl calls first; -1 when it is missing.
    double metricValue(const std::string &name)
    {
        http::HttpClientRequest request;
        request.url = m_deployment.entries()[0].http + "/metrics";
        const auto text = core::valueOf(m_deployment.send(request)).body;
        const auto line = text.find("\nlycheelanding_" + name + " ");
        return line == std::string::npos ? -1 : std::stod(text.substr(text.find(' ', line)));
    }

    std::uint64_t currentVersion()
    {
        return m_deployment.getJson(m_deployment.entries()[0].http + "/configuration/history").value("version", 0UL);
    }

    Deployment m_deployment;
    std::map<std::string, std::uint64_t> m_highestVersions;
};

std::uint64_t versionIn(const control::CommandResult &result)
{
    return Json::parse(result.output).value("version", 0UL);
}

} // namespace

TEST_F(ConfigurationGuaranteeTest, racingPatchesOnOneVersionHaveOneWinner)
{
    for (std::uint64_t version = 1; version <= 5; ++version) {
        std::atomic<int> accepted = 0;
        std::atomic<int> conflicts = 0;
        std::vector<std::thread> operators;
        for (std::size_t index = 0; index < 6; ++index) {
            operators.emplace_back([&, index] {
                const auto id = "race-" + std::to_string(version) + "-" + std::to_string(index);
                const auto answer = m_deployment.submitPatch(index % 3, version, id, weightPatch(1.0 + double(index)));
                ASSERT_TRUE(core::isOk(answer));
                accepted += core::valueOf(answer).status == 200 ? 1 : 0;
                conflicts += core::valueOf(answer).status == 412 ? 1 : 0;
            });
        }
        for (auto &thread : operators) {
            thread.join();
        }
        EXPECT_EQ(accepted, 1);
        EXPECT_EQ(conflicts, 5);
        waitUntilActive(version + 1);
    }
}

TEST_F(ConfigurationGuaranteeTest, aPatchWhoseStoreAnswersAreLostAppliesOnce)
{
    setStoreMode({{"mode", "loseAnswers"}, {"count", 2}});
    const auto first = patch(1, "lost", 3);
    EXPECT_EQ(first.code, ExitCode::Ok) << first.message;
    EXPECT_EQ(versionIn(first), 2U);
    const auto repeated = patch(1, "lost", 3);
    EXPECT_EQ(versionIn(repeated), 2U);
    waitUntilActive(2);
    const auto history = Json::parse(runLycheectl({"config", "history"}).output)["history"];
    EXPECT_EQ(history.size(), 2U);
    EXPECT_EQ(history[0]["patchId"], "lost");
    EXPECT_EQ(patch(1, "other", 4).code, ExitCode::Conflict);
    EXPECT_EQ(patch(2, "bad", -1).code, ExitCode::Invalid);

    EXPECT_EQ(metricValue("patches_accepted_total"), 3);
    EXPECT_EQ(metricValue("patches_conflicting_total"), 1);
    EXPECT_EQ(metricValue("patches_invalid_total"), 1);
    EXPECT_GE(metricValue("store_failures_total"), 1);
    EXPECT_GE(metricValue("store_writes_total"), 2);
    EXPECT_EQ(metricValue("configuration_version"), 2);
    EXPECT_EQ(metricValue("configuration_stale"), 0);
    EXPECT_EQ(metricValue("ready"), 1);
}

TEST_F(ConfigurationGuaranteeTest, aPatchDuringAStoreStallAppliesOnce)
{
    setStoreMode({{"mode", "stall"}});
    const auto answer = m_deployment.submitPatch(0, 1, "stalled", weightPatch(7));
    ASSERT_TRUE(core::isOk(answer));
    EXPECT_EQ(core::valueOf(answer).status, 503) << core::valueOf(answer).body;
    setStoreMode({{"mode", "up"}});
    const auto repeated = patch(1, "stalled", 7);
    EXPECT_EQ(repeated.code, ExitCode::Ok) << repeated.message;
    EXPECT_EQ(versionIn(repeated), 2U);
    waitUntilActive(2);
    EXPECT_EQ(currentVersion(), 2U);
}

TEST_F(ConfigurationGuaranteeTest, aRestartedEntryLoadsTheHighestVersionFromItsPeersWhileTheStoreIsDown)
{
    EXPECT_EQ(patch(1, "a", 2).code, ExitCode::Ok);
    EXPECT_EQ(patch(2, "b", 3).code, ExitCode::Ok);
    waitUntilActive(3);
    setStoreMode({{"mode", "down"}});
    EXPECT_EQ(patch(3, "c", 4).code, ExitCode::Unreachable);

    auto &entry = m_deployment.entries()[1];
    entry.process->kill();
    entry.process->waitForExit(5s);
    m_deployment.startEntry(entry);
    m_deployment.putEntryInVmList(entry);
    std::set<std::uint64_t> readyVersions;
    m_deployment.waitFor(
        "the restarted entry is ready",
        [&] {
            const bool isReady = m_deployment.getJson(entry.http + "/ready").value("ready", false);
            if (isReady) {
                readyVersions.insert(m_deployment.getJson(entry.http + "/configuration/status").value("version", 0UL));
            }
            return isReady;
        },
        15s);
    EXPECT_EQ(readyVersions, (std::set<std::uint64_t>{3}));

    setStoreMode({{"mode", "up"}});
    EXPECT_EQ(patch(3, "c", 4).code, ExitCode::Ok);
    waitUntilActive(4);
}

TEST_F(ConfigurationGuaranteeTest, suspendedProcessesCatchUpWithoutGoingBack)
{
    auto &side = m_deployment.sides()[0];
    auto &entry = m_deployment.entries()[2];
    side.process->suspend();
    entry.process->suspend();
    for (std::uint64_t version = 1; version <= 3; ++version) {
        const auto answer = m_deployment.submitPatch(version % 2, version, "f" + std::to_string(version),
                                                     weightPatch(double(version)));
        ASSERT_TRUE(core::isOk(answer));
        EXPECT_EQ(core::valueOf(answer).status, 200) << core::valueOf(answer).body;
    }
    side.process->resume();
    entry.process->resume();
    waitUntilActive(4);
    EXPECT_EQ(runLycheectl({"config", "status"}).code, ExitCode::Ok);
    const auto status = Json::parse(runLycheectl({"status"}).output);
    EXPECT_EQ(status["entries"].size(), 3U);
    EXPECT_EQ(runLycheectl({"burn"}).code, ExitCode::Ok);
}

} // namespace lycheelanding::tests::configuration

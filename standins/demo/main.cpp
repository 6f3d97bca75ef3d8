// Runs a complete deployment with stand-ins as separate processes and prints the result of each demonstration.

#include "harness/deployment.h"
#include "harness/loadgenerator.h"

#include <cstdlib>
#include <iostream>
#include <stdexcept>
#include <string>
#include <vector>

namespace {

using namespace lycheelanding;
using Json = nlohmann::json;

constexpr std::size_t demoTokens = 8;
constexpr std::size_t loadCallers = 6;
constexpr std::size_t loadTokens = 60;
constexpr std::chrono::seconds stopTimeout(20);

void require(bool condition, const std::string &what)
{
    if (!condition) {
        throw std::runtime_error("demo failed: " + what);
    }
}

http::HttpResponse expectResponse(const core::Result<http::HttpResponse> &result)
{
    require(core::isOk(result), core::isOk(result) ? "" : core::errorOf(result).detail);
    return core::valueOf(result);
}

void showCompletions(harness::Deployment &deployment)
{
    std::cout << "\n== Streamed completions, through two entries for two organisations\n";
    const char *organisations[]{"fabricators", "restorers"};
    for (std::size_t entry = 0; entry < deployment.entries().size(); ++entry) {
        const std::string prompt = "bath" + std::to_string(entry) + " schedule please";
        const auto response = expectResponse(
            deployment.send(deployment.completionRequest(entry, organisations[entry % 2], prompt, demoTokens)));
        require(harness::isExpectedCompletion(response.body, prompt, demoTokens), "answer: " + response.body);
        std::cout << deployment.entries()[entry].vm << " answered " << organisations[entry % 2] << ", prompt \""
                  << prompt << "\":\n"
                  << response.body;
    }
}

void showVersions(harness::Deployment &deployment, const std::string &title)
{
    std::cout << "\n== Configuration version on every process " << title << "\n";
    for (const auto &[vm, version] : deployment.versions()) {
        std::cout << "  " << vm << ": " << version << "\n";
    }
}

/// Runs lycheectl and prints its output and exit code.
void runControl(harness::Deployment &deployment, std::size_t entry, std::vector<std::string> arguments)
{
    constexpr std::chrono::seconds exitTimeout(20);
    std::cout << "$ lycheectl";
    for (const auto &argument : arguments) {
        std::cout << " " << argument;
    }
    arguments.insert(arguments.end(), {"--entry", deployment.entries()[entry].http});
    harness::ChildProcess control("lycheectl", arguments, deployment.folder() + "/lycheectl.log");
    std::cout << "\n" << control.readOutputToEnd();
    const auto exitCode = control.waitForExit(exitTimeout);
    require(exitCode.has_value(), "lycheectl did not exit");
    std::cout << "exit code " << *exitCode << "\n";
}

void showPatch(harness::Deployment &deployment)
{
    const auto expected = deployment.entries().size() + deployment.sides().size();
    const auto isActiveEverywhere = [&](std::uint64_t version) {
        std::size_t current = 0;
        for (const auto &[vm, active] : deployment.versions()) {
            current += active == version ? 1 : 0;
        }
        return current == expected;
    };
    deployment.waitFor("version 1 on all processes", [&] { return isActiveEverywhere(1); });
    showVersions(deployment, "before a patch");
    const std::string patch = R"([{"op": "replace", "path": "/organisations/1/weight", "value": 3.0}])";
    runControl(deployment, 1, {"config", "patch", "--expect", "1", "--patch-id", "demo-weight", "--patch", patch});
    deployment.waitFor("version 2 on all processes", [&] { return isActiveEverywhere(2); });
    showVersions(deployment, "after the patch, without a restart");
    runControl(deployment, 0, {"config", "patch", "--expect", "1", "--patch-id", "demo-late", "--patch", patch});
    runControl(deployment, 0, {"config", "status"});
}

void showNonIdempotent(harness::Deployment &deployment)
{
    std::cout << "\n== A non-idempotent call, retried by the caller through another entry\n";
    for (std::size_t entry = 0; entry < 2; ++entry) {
        auto request = deployment.callerRequest(entry, "fabricators", "/run/release");
        request.method = "POST";
        request.headers.add("Idempotency-Key", "release-4711");
        request.body = R"({"rack": 12})";
        const auto response = expectResponse(deployment.send(std::move(request)));
        std::cout << deployment.entries()[entry].vm << ": " << response.status << " " << response.body << "\n";
    }
    std::size_t runs = 0;
    for (const auto &side : deployment.sides()) {
        if (side.backendKind == "plain") {
            runs += deployment.getJson(side.backend + "/journal").value("runs", Json::array()).size();
        }
    }
    std::cout << "runs in the services' journals: " << runs << "\n";
    require(runs == 1, "the release ran " + std::to_string(runs) + " times");
}

void showPlannedStops(harness::Deployment &deployment)
{
    std::cout << "\n== Planned stops under load: one side, then one entry\n";
    harness::LoadGenerator load(deployment, loadCallers, loadTokens);
    auto &side = deployment.sides()[1];
    side.process->terminate();
    const auto sideExit = side.process->waitForExit(stopTimeout);
    require(sideExit == EXIT_SUCCESS, "the side did not exit with code 0");
    deployment.startSide(side);
    deployment.putSideInVmList(side);
    auto &entry = deployment.entries()[1];
    entry.process->terminate();
    const auto entryExit = entry.process->waitForExit(stopTimeout);
    require(entryExit == EXIT_SUCCESS, "the entry did not exit with code 0");
    const auto outcome = load.stop();
    std::cout << "requests " << outcome.sent << ", complete answers " << outcome.complete << ", refused as not run "
              << outcome.refused << ", cut off " << outcome.cutOff << ", mismatched " << outcome.mismatched << "\n";
    for (const auto &[kind, example] : outcome.examples) {
        std::cout << "  " << kind << ": " << example << "\n";
    }
    require(outcome.complete > 0 && outcome.cutOff == 0 && outcome.mismatched == 0, "planned stops cut off requests");
}

} // namespace

int main()
{
    try {
        harness::Deployment deployment{harness::DeploymentPlan()};
        deployment.start();
        std::cout << "== Running: " << deployment.entries().size() << " entries, " << deployment.sides().size()
                  << " sides with their backend servers\n";
        showCompletions(deployment);
        showPatch(deployment);
        showNonIdempotent(deployment);
        showPlannedStops(deployment);
        std::cout << "\ndemo passed\n";
        return EXIT_SUCCESS;
    } catch (const std::exception &exception) {
        std::cerr << exception.what() << std::endl;
        return EXIT_FAILURE;
    }
}

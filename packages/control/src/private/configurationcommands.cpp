#include "private/configurationcommands.h"

#include "private/answers.h"
#include "private/texttable.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace lycheelanding::control {

namespace {

using nlohmann::json;

/// The configuration version in the ETag header, e.g. "12" -> 12; 0 without the header.
std::uint64_t versionFromETag(const http::HttpResponse &response)
{
    std::uint64_t version = 0;
    for (const char character : response.headers.find("ETag").value_or("")) {
        if (character >= '0' && character <= '9') {
            version = 10 * version + static_cast<std::uint64_t>(character - '0');
        }
    }
    return version;
}

std::string timeText(std::int64_t milliseconds)
{
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(static_cast<std::time_t>(milliseconds / 1000)));
}

CommandResult acceptedResult(std::uint64_t version, const std::string &patchId, bool asJson)
{
    if (asJson) {
        const json object{{"result", nameOf(ExitCode::Ok)}, {"version", version}, {"patchId", patchId}};
        return {ExitCode::Ok, object.dump(2) + "\n", ""};
    }
    return {ExitCode::Ok, fmt::format("accepted as version {}\n", version), ""};
}

/// The next step for the operator after a refused patch; empty when there is none.
std::string adviceFor(ExitCode code, const Command &command, const Refusal &refusal)
{
    if (code == ExitCode::Conflict && refusal.currentVersion) {
        return fmt::format("The version now is {}; nothing was changed. See what has changed with "
                           "`lycheectl config history`, then submit the patch again with --expect {}.\n",
                           *refusal.currentVersion, *refusal.currentVersion);
    }
    if (code == ExitCode::Undecided) {
        return fmt::format("The patch may have been accepted. Repeat it with --patch-id {} --expect {}: it does not "
                           "apply twice.\n",
                           command.patchId, *command.expectedVersion);
    }
    if (code == ExitCode::Unreachable) {
        return "Nothing was changed.\n";
    }
    return "";
}

CommandResult refusedResult(const Command &command, const Refusal &refusal)
{
    const auto code = exitCodeOf(refusal.error.kind);
    auto result = failureResult(code, refusal.error, false);
    result.message += adviceFor(code, command, refusal);
    if (command.asJson) {
        json object{{"result", nameOf(code)},
                    {"kind", core::nameOf(refusal.error.kind)},
                    {"detail", refusal.error.detail},
                    {"patchId", command.patchId}};
        if (refusal.currentVersion) {
            object["currentVersion"] = *refusal.currentVersion;
        }
        result.output = object.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
    }
    return result;
}

/// The most recent report on each process among the answers of all entries, by VM and role.
std::map<std::pair<std::string, std::string>, json> latestProcessReports(const std::vector<json> &statuses)
{
    std::map<std::pair<std::string, std::string>, json> processes;
    for (const auto &status : statuses) {
        for (const auto &process : status.at("processes")) {
            const std::pair key(process.at("vm").get<std::string>(), process.at("role").get<std::string>());
            const auto [known, isNew] = processes.try_emplace(key, process);
            if (!isNew && process.at("lastSeenMs") < known->second.at("lastSeenMs")) {
                known->second = process;
            }
        }
    }
    return processes;
}

struct VersionOverview
{
    std::uint64_t highestVersion = 0;
    std::vector<json> processes;
    std::size_t outdatedCount = 0;
};

VersionOverview overviewOf(const std::vector<json> &statuses)
{
    VersionOverview overview;
    for (auto &[key, process] : latestProcessReports(statuses)) {
        overview.highestVersion = std::max(overview.highestVersion, process.at("version").get<std::uint64_t>());
        overview.processes.push_back(process);
    }
    for (auto &process : overview.processes) {
        const bool isCurrent
            = process.at("version").get<std::uint64_t>() == overview.highestVersion && !process.at("stale").get<bool>();
        process["current"] = isCurrent;
        overview.outdatedCount += isCurrent ? 0 : 1;
    }
    return overview;
}

std::string overviewText(const VersionOverview &overview)
{
    std::vector<std::vector<std::string>> rows{{"VM", "ROLE", "DATA CENTRE", "VERSION", "STALE", "SEEN (MS)", ""}};
    for (const auto &process : overview.processes) {
        rows.push_back({process.at("vm").get<std::string>(), process.at("role").get<std::string>(),
                        process.at("dataCentre").get<std::string>(), process.at("version").dump(),
                        process.at("stale").get<bool>() ? "yes" : "no", process.at("lastSeenMs").dump(),
                        process.at("current").get<bool>() ? "" : "not on the version"});
    }
    return fmt::format("version {}: {} of {} processes are on it\n", overview.highestVersion,
                       overview.processes.size() - overview.outdatedCount, overview.processes.size())
        + textTable(rows);
}

} // namespace

CommandResult showConfiguration(EntryClient &client, const Command &command)
{
    const auto answer = client.getFromAny("/configuration");
    if (!core::isOk(answer)) {
        return failureResult(exitCodeOf(core::errorOf(answer).kind), core::errorOf(answer), command.asJson);
    }
    const auto &response = core::valueOf(answer);
    const auto document = jsonObjectOf(response);
    if (!core::isOk(document)) {
        return failureResult(ExitCode::Failed, core::errorOf(document), command.asJson);
    }
    if (command.asJson) {
        const json object{{"version", versionFromETag(response)}, {"document", core::valueOf(document)}};
        return {ExitCode::Ok, object.dump(2) + "\n", ""};
    }
    return {ExitCode::Ok, core::valueOf(document).dump(2) + "\n",
            fmt::format("version {}\n", versionFromETag(response))};
}

CommandResult patchConfiguration(EntryClient &client, const Command &command, const PatchSubmitterSettings &settings)
{
    auto submitted = command;
    if (submitted.patchId.empty()) {
        submitted.patchId = randomPatchId();
    }
    PatchSubmitter submitter(client, settings);
    const auto outcome
        = submitter.submit({*submitted.expectedVersion, submitted.patchId, submitted.patchText, submitted.submittedBy});
    if (outcome.acceptedVersion) {
        return acceptedResult(*outcome.acceptedVersion, submitted.patchId, submitted.asJson);
    }
    return refusedResult(submitted, outcome.refusal);
}

CommandResult showHistory(EntryClient &client, const Command &command)
{
    const auto answer = client.getFromAny("/configuration/history");
    if (!core::isOk(answer)) {
        return failureResult(exitCodeOf(core::errorOf(answer).kind), core::errorOf(answer), command.asJson);
    }
    const auto object = jsonObjectOf(core::valueOf(answer));
    if (!core::isOk(object)) {
        return failureResult(ExitCode::Failed, core::errorOf(object), command.asJson);
    }
    if (command.asJson) {
        return {ExitCode::Ok, core::valueOf(object).dump(2) + "\n", ""};
    }
    return handleJsonErrors(command.asJson, [&]() -> CommandResult {
        std::vector<std::vector<std::string>> rows{{"VERSION", "ACCEPTED", "BY", "PATCH ID", "PATCH"}};
        for (const auto &patch : core::valueOf(object).at("history")) {
            rows.push_back({patch.at("version").dump(), timeText(patch.at("acceptedAtMs").get<std::int64_t>()),
                            patch.at("submittedBy").get<std::string>(), patch.at("patchId").get<std::string>(),
                            patch.at("patch").get<std::string>()});
        }
        return {ExitCode::Ok, textTable(rows), ""};
    });
}

CommandResult showVersions(EntryClient &client, const Command &command)
{
    const auto collected = collectAnswers(client, "/configuration/status");
    if (collected.objects.empty()) {
        const auto &error = collected.errors.front();
        return failureResult(exitCodeOf(error.kind), error, command.asJson);
    }
    return handleJsonErrors(command.asJson, [&]() -> CommandResult {
        const auto overview = overviewOf(collected.objects);
        const auto code = overview.outdatedCount == 0 ? ExitCode::Ok : ExitCode::Failed;
        if (!command.asJson) {
            return {code, overviewText(overview), errorLines(collected.errors)};
        }
        const json object{{"result", nameOf(code)},
                          {"version", overview.highestVersion},
                          {"notOnVersion", overview.outdatedCount},
                          {"processes", overview.processes},
                          {"unreached", errorsJson(collected.errors)}};
        return {code, object.dump(2) + "\n", errorLines(collected.errors)};
    });
}

} // namespace lycheelanding::control

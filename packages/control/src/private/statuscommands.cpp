#include "private/statuscommands.h"

#include "private/answers.h"
#include "private/texttable.h"

#include <fmt/format.h>

#include <string>
#include <vector>

namespace lycheelanding::control {

namespace {

using nlohmann::json;

std::string entriesText(const std::vector<json> &statuses)
{
    std::vector<std::vector<std::string>> rows{{"ENTRY", "DATA CENTRE", "STATE", "VERSION", "STALE"}};
    for (const auto &status : statuses) {
        const auto &entry = status.at("entry");
        rows.push_back({entry.at("vm").get<std::string>(), entry.at("dataCentre").get<std::string>(),
                        entry.at("state").get<std::string>(), entry.at("configurationVersion").dump(),
                        entry.at("stale").get<bool>() ? "yes" : "no"});
    }
    return textTable(rows);
}

/// One row for each entry and backend server, since entries may report different states of a backend server.
std::string backendServersText(const std::vector<json> &statuses)
{
    std::vector<std::vector<std::string>> rows{
        {"BACKEND SERVER", "DATA CENTRE", "STATE", "IN FLIGHT", "LIMIT", "QUEUED", "TOKENS", "SEEN (MS)", "BY ENTRY"}};
    for (const auto &status : statuses) {
        for (const auto &server : status.at("backendServers")) {
            rows.push_back({server.at("vm").get<std::string>(), server.at("dataCentre").get<std::string>(),
                            server.at("state").get<std::string>(), server.at("inFlight").dump(),
                            server.at("limit").dump(), server.at("queued").dump(),
                            server.at("outstandingTokens").dump(), server.at("lastSeenMs").dump(),
                            status.at("entry").at("vm").get<std::string>()});
        }
    }
    return textTable(rows);
}

} // namespace

CommandResult showStatus(EntryClient &client, const Command &command)
{
    const auto collected = collectAnswers(client, "/status");
    if (collected.objects.empty()) {
        const auto &error = collected.errors.front();
        return failureResult(exitCodeOf(error.kind), error, command.asJson);
    }
    if (command.asJson) {
        const json object{{"entries", collected.objects}, {"unreached", errorsJson(collected.errors)}};
        return {ExitCode::Ok, object.dump(2) + "\n", errorLines(collected.errors)};
    }
    return handleJsonErrors(command.asJson, [&]() -> CommandResult {
        const auto text = entriesText(collected.objects) + "\n" + backendServersText(collected.objects);
        return {ExitCode::Ok, text, errorLines(collected.errors)};
    });
}

CommandResult drain(EntryClient &client, const Command &command)
{
    core::Error lastError{core::ErrorKind::PeerUnreachable, "no entry was named"};
    // An entry that refuses may not know the VM, while another one does.
    for (const auto &entry : client.entries()) {
        const auto answer = client.call(entry, entryRequest("POST", "/drain/" + command.vm));
        if (!core::isOk(answer)) {
            lastError = core::errorOf(answer);
            continue;
        }
        const auto &response = core::valueOf(answer);
        if (response.status == 202) {
            const json object{{"result", nameOf(ExitCode::Ok)}, {"vm", command.vm}, {"state", "draining"}};
            return {ExitCode::Ok, command.asJson ? object.dump(2) + "\n" : fmt::format("{} is draining\n", command.vm),
                    ""};
        }
        lastError = refusalOf(response).error;
    }
    return failureResult(exitCodeOf(lastError.kind), lastError, command.asJson);
}

} // namespace lycheelanding::control

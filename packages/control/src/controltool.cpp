#include "lycheelanding/control/controltool.h"

#include "private/burncommand.h"
#include "private/configurationcommands.h"
#include "private/requesttimeline.h"
#include "private/statuscommands.h"

#include <algorithm>

namespace lycheelanding::control {

namespace {

CommandResult explain(const Command &command)
{
    const auto timeline = requestTimeline(command.requestId, command.logs);
    if (timeline.empty()) {
        return failureResult(ExitCode::Failed, {core::ErrorKind::MalformedRequest, "no line names the request"},
                             command.asJson);
    }
    return {ExitCode::Ok, command.asJson ? timelineJson(timeline).dump(2) + "\n" : timelineText(timeline), ""};
}

CommandResult execute(const Command &command, const PatchSubmitterSettings &settings)
{
    EntryClient client(command.entries, command.timeout);
    switch (command.name) {
    case CommandName::ConfigShow:
        return showConfiguration(client, command);
    case CommandName::ConfigPatch:
        return patchConfiguration(client, command, settings);
    case CommandName::ConfigHistory:
        return showHistory(client, command);
    case CommandName::ConfigStatus:
        return showVersions(client, command);
    case CommandName::Burn:
        return showBurn(client, command);
    case CommandName::Status:
        return showStatus(client, command);
    case CommandName::Drain:
        return drain(client, command);
    case CommandName::Explain:
        return explain(command);
    }
    return failureResult(ExitCode::Failed, {core::ErrorKind::Internal, "unknown command"}, command.asJson);
}

} // namespace

CommandResult runTool(const std::vector<std::string> &arguments, const PatchSubmitterSettings &settings)
{
    const auto parsed = parseCommandLine(arguments);
    if (!core::isOk(parsed)) {
        const bool asJson = std::find(arguments.begin(), arguments.end(), "--json") != arguments.end();
        return failureResult(ExitCode::Invalid, core::errorOf(parsed), asJson);
    }
    const auto &content = core::valueOf(parsed);
    if (const auto *infoText = std::get_if<InfoText>(&content)) {
        return {ExitCode::Ok, infoText->text, ""};
    }
    return execute(std::get<Command>(content), settings);
}

} // namespace lycheelanding::control

#include "private/burncommand.h"

#include "lycheelanding/configuration/configurationdocument.h"
#include "lycheelanding/report/burnreport.h"

#include <fmt/format.h>

#include <fstream>
#include <vector>

namespace lycheelanding::control {

namespace {

report::BurnReport collectBurnReport(EntryClient &client, const std::vector<configuration::Objective> &objectives)
{
    std::vector<report::BurnCounts> counts;
    std::vector<report::UnreachedEntry> unreached;
    for (const auto &answer : client.getFromAll("/burn")) {
        if (!core::isOk(answer.response)) {
            unreached.push_back({answer.entry.url, core::errorOf(answer.response).detail});
            continue;
        }
        const auto parsed = report::burnCountsFromJson(core::valueOf(answer.response).body);
        if (core::isOk(parsed)) {
            counts.push_back(core::valueOf(parsed));
        } else {
            unreached.push_back({answer.entry.url, core::errorOf(parsed).detail});
        }
    }
    return report::makeBurnReport(objectives, counts, std::move(unreached));
}

} // namespace

CommandResult showBurn(EntryClient &client, const Command &command)
{
    const auto answer = client.getFromAny("/configuration");
    if (!core::isOk(answer)) {
        return failureResult(exitCodeOf(core::errorOf(answer).kind), core::errorOf(answer), command.asJson);
    }
    const auto document = configuration::parseDocument(core::valueOf(answer).body);
    if (!core::isOk(document)) {
        return failureResult(ExitCode::Failed, core::errorOf(document), command.asJson);
    }
    const auto report = collectBurnReport(client, core::valueOf(document).objectives);
    if (report.entriesReached == 0) {
        const core::Error error{core::ErrorKind::PeerUnreachable, "no entry gave its counts"};
        return failureResult(ExitCode::Unreachable, error, command.asJson);
    }
    CommandResult result{ExitCode::Ok, command.asJson ? report::burnJson(report) + "\n" : report::burnTable(report),
                         ""};
    if (!command.htmlFile.empty()) {
        std::ofstream file(command.htmlFile, std::ios::binary);
        file << report::burnPage(report);
        if (!file.flush()) {
            const core::Error error{core::ErrorKind::Internal, fmt::format("cannot write {}", command.htmlFile)};
            return failureResult(ExitCode::Failed, error, command.asJson);
        }
        result.message = fmt::format("page written to {}\n", command.htmlFile);
    }
    return result;
}

} // namespace lycheelanding::control

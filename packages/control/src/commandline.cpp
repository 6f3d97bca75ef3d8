#include "lycheelanding/control/commandline.h"

#include "lycheelanding/control/commandresult.h"
#include "lycheelanding/core/nametable.h"
#include "lycheelanding/core/version.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <array>
#include <fstream>
#include <iostream>
#include <iterator>

namespace lycheelanding::control {

namespace {

constexpr std::array<core::NameEntry<CommandName>, 8> commandNames{{
    {CommandName::ConfigShow, "config show"},
    {CommandName::ConfigPatch, "config patch"},
    {CommandName::ConfigHistory, "config history"},
    {CommandName::ConfigStatus, "config status"},
    {CommandName::Burn, "burn"},
    {CommandName::Status, "status"},
    {CommandName::Drain, "drain"},
    {CommandName::Explain, "explain"},
}};

constexpr std::string_view usage = R"(Commands:
  config show     the configuration in force and its version
  config patch    submits a JSON patch (RFC 6902) made for the version --expect, from --file or --patch
  config history  the patches that led to the recent versions
  config status   the version of every process
  burn            service-level burn over all named entries, with --html also as a page
  status          entries and backend servers
  drain VM        takes a backend server out of service
  explain ID FILE...  what the processes' logs tell of one request, in the order of time; needs no --entry
)";

cxxopts::Options declaredOptions()
{
    cxxopts::Options options("lycheectl", "Operates lycheelanding through the HTTP interface of its entries.");
    options.add_options()("entry", "Entry to speak to, as http://IP:PORT; may be repeated",
                          cxxopts::value<std::vector<std::string>>(),
                          "URL")("json", "Print JSON")("timeout-ms", "Longest time for one call, in milliseconds",
                                                       cxxopts::value<std::uint32_t>()->default_value("10000"), "N")(
        "expect", "Version that the patch was made for; 0 for the first document", cxxopts::value<std::uint64_t>(),
        "N")("file", "File with the patch; - for the standard input", cxxopts::value<std::string>(),
             "FILE")("patch", "The patch itself, in place of --file", cxxopts::value<std::string>(), "JSON")(
        "patch-id", "Id of the patch: a repeat under the same id never applies twice; drawn at random when absent",
        cxxopts::value<std::string>(),
        "ID")("by", "Who submits the patch, for the history", cxxopts::value<std::string>()->default_value(""), "TEXT")(
        "html", "Write the burn report as a page to this file", cxxopts::value<std::string>()->default_value(""),
        "FILE")("help", "Print this help")("version", "Print the version")("words", "",
                                                                           cxxopts::value<std::vector<std::string>>());
    options.parse_positional("words");
    return options;
}

core::Error usageError(std::string detail)
{
    return {core::ErrorKind::MalformedRequest, std::move(detail) + " (see lycheectl --help)"};
}

core::Result<std::string> readFile(const std::string &name)
{
    if (name == "-") {
        return std::string(std::istreambuf_iterator<char>(std::cin), {});
    }
    std::ifstream file(name, std::ios::binary);
    if (!file) {
        return usageError(fmt::format("cannot read {}", name));
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

/// Removes the command's name from the front of `positional`, e.g. "config", "patch" -> ConfigPatch.
std::optional<CommandName> extractCommandName(std::vector<std::string> &positional)
{
    for (std::size_t length = std::min<std::size_t>(positional.size(), 2); length > 0; --length) {
        const auto text = length == 2 ? positional[0] + " " + positional[1] : positional[0];
        if (const auto name = core::valueIn(commandNames, text)) {
            positional.erase(positional.begin(), positional.begin() + static_cast<std::ptrdiff_t>(length));
            return name;
        }
    }
    return std::nullopt;
}

std::optional<core::Error> readEntries(const cxxopts::ParseResult &parsed, Command &command)
{
    if (parsed.count("entry") == 0) {
        return usageError("--entry http://IP:PORT is missing");
    }
    for (auto url : parsed["entry"].as<std::vector<std::string>>()) {
        if (!url.starts_with("http://")) {
            return usageError(fmt::format("--entry {}: an entry is http://IP:PORT", url));
        }
        while (url.ends_with('/')) {
            url.pop_back();
        }
        command.entries.push_back({url});
    }
    return std::nullopt;
}

std::optional<core::Error> readPatch(const cxxopts::ParseResult &parsed, Command &command)
{
    if (parsed.count("expect") == 0) {
        return usageError("--expect N is missing: the version that the patch was made for");
    }
    if (parsed.count("file") + parsed.count("patch") != 1) {
        return usageError("exactly one of --file and --patch is needed");
    }
    command.expectedVersion = parsed["expect"].as<std::uint64_t>();
    command.submittedBy = parsed["by"].as<std::string>();
    if (parsed.count("patch-id") > 0) {
        command.patchId = parsed["patch-id"].as<std::string>();
    }
    if (parsed.count("patch") > 0) {
        command.patchText = parsed["patch"].as<std::string>();
        return std::nullopt;
    }
    auto text = readFile(parsed["file"].as<std::string>());
    if (!core::isOk(text)) {
        return core::errorOf(text);
    }
    command.patchText = core::takeValue(std::move(text));
    return std::nullopt;
}

/// Reads the request's id and the log files named in `positional`, which it clears.
std::optional<core::Error> readLogs(std::vector<std::string> &positional, Command &command)
{
    if (positional.size() < 2) {
        return usageError("explain needs the id of a request and files of logs");
    }
    command.requestId = positional[0];
    for (std::size_t index = 1; index < positional.size(); ++index) {
        auto text = readFile(positional[index]);
        if (!core::isOk(text)) {
            return core::errorOf(text);
        }
        command.logs.push_back(core::takeValue(std::move(text)));
    }
    positional.clear();
    return std::nullopt;
}

core::Result<Command> commandOf(const cxxopts::ParseResult &parsed)
{
    auto positional
        = parsed.count("words") > 0 ? parsed["words"].as<std::vector<std::string>>() : std::vector<std::string>();
    const auto name = extractCommandName(positional);
    if (!name) {
        return usageError(positional.empty() ? "a command is missing"
                                             : fmt::format("unknown command: {}", positional[0]));
    }
    Command command;
    command.name = *name;
    command.asJson = parsed.count("json") > 0;
    command.timeout = std::chrono::milliseconds(parsed["timeout-ms"].as<std::uint32_t>());
    command.htmlFile = parsed["html"].as<std::string>();
    const bool isOffline = *name == CommandName::Explain;
    if (auto error = isOffline ? readLogs(positional, command) : readEntries(parsed, command)) {
        return *error;
    }
    if (*name == CommandName::ConfigPatch) {
        if (auto error = readPatch(parsed, command)) {
            return *error;
        }
    }
    if (*name == CommandName::Drain && !positional.empty()) {
        command.vm = positional[0];
        positional.erase(positional.begin());
    }
    if (*name == CommandName::Drain && command.vm.empty()) {
        return usageError("drain needs the name of a VM");
    }
    if (!positional.empty()) {
        return usageError(fmt::format("unexpected argument: {}", positional[0]));
    }
    return command;
}

} // namespace

std::string helpText()
{
    auto options = declaredOptions();
    options.positional_help("COMMAND").custom_help("[OPTION...]");
    std::string text = options.help() + "\n" + std::string(usage) + "\nExit codes:\n";
    for (const auto &code : exitCodeTexts()) {
        text += fmt::format("  {}  {}\n", static_cast<int>(code.code), code.help);
    }
    return text;
}

core::Result<std::variant<Command, InfoText>> parseCommandLine(const std::vector<std::string> &arguments)
{
    std::vector<const char *> pointers{"lycheectl"};
    for (const auto &argument : arguments) {
        pointers.push_back(argument.c_str());
    }
    try {
        auto options = declaredOptions();
        const auto parsed = options.parse(static_cast<int>(pointers.size()), pointers.data());
        if (parsed.count("help") > 0) {
            return InfoText{helpText()};
        }
        if (parsed.count("version") > 0) {
            return InfoText{fmt::format("lycheectl {}\n", core::versionText)};
        }
        const auto command = commandOf(parsed);
        if (!core::isOk(command)) {
            return core::errorOf(command);
        }
        return core::valueOf(command);
    } catch (const cxxopts::exceptions::exception &exception) {
        return usageError(exception.what());
    }
}

} // namespace lycheelanding::control

#pragma once

#include "lycheelanding/control/entryclient.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lycheelanding::control {

enum class CommandName : std::uint8_t {
    ConfigShow,
    ConfigPatch,
    ConfigHistory,
    ConfigStatus,
    Burn,
    Status,
    Drain,
    Explain,
};

/// A parsed command line.
struct Command
{
    CommandName name = CommandName::Status;
    std::vector<EntryAddress> entries;
    bool asJson = false;
    /// For one call to an entry.
    std::chrono::milliseconds timeout{};

    // config patch
    std::optional<std::uint64_t> expectedVersion;
    std::string patchText;
    std::string patchId;
    std::string submittedBy;

    // burn: path of the HTML page to write; empty for none
    std::string htmlFile;

    // drain
    std::string vm;

    // explain
    std::string requestId;
    /// Contents of the log files.
    std::vector<std::string> logs;
};

/// The text that --help or --version prints.
struct InfoText
{
    std::string text;
};

/// `arguments` exclude the program's name. Fails with MalformedRequest and a detail of one line.
core::Result<std::variant<Command, InfoText>> parseCommandLine(const std::vector<std::string> &arguments);

std::string helpText();

} // namespace lycheelanding::control

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

/// What the operator asks for.
struct Command
{
    CommandName name = CommandName::Status;
    std::vector<EntryAddress> entries;
    bool asJson = false;
    std::chrono::milliseconds timeout{};

    // config patch
    std::optional<std::uint64_t> expectedVersion;
    std::string patchText;
    std::string patchId;
    std::string submittedBy;

    // burn: file for the HTML page, or empty
    std::string htmlFile;

    // drain
    std::string vm;

    // explain
    std::string request;
    std::vector<std::string> logs;
};

/// A text to print in place of a command: --help, --version.
struct InfoText
{
    std::string text;
};

/// Fails with MalformedRequest and one line that says what is wrong.
core::Result<std::variant<Command, InfoText>> parseCommandLine(const std::vector<std::string> &arguments);

std::string helpText();

} // namespace lycheelanding::control

#pragma once

#include "lycheelanding/core/result.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

/// lycheectl, the operators' command-line client of the entries' HTTP interface.
namespace lycheelanding::control {

enum class ExitCode : std::uint8_t {
    Ok = 0,
    Failed = 1,
    Invalid = 2,
    Conflict = 3,
    Undecided = 4,
    Unreachable = 5,
};

struct ExitCodeText
{
    ExitCode code;
    /// Value of "result" in JSON output.
    std::string_view name;
    std::string_view help;
};

/// All exit codes, in their order.
std::span<const ExitCodeText> exitCodeTexts();
std::string_view nameOf(ExitCode code);

/// Output and exit code of a command.
struct CommandResult
{
    ExitCode code = ExitCode::Ok;
    /// For the standard output.
    std::string output;
    /// For the standard error stream.
    std::string message;
};

/// The exit code for an error in an entry's answer or of the call to the entry.
ExitCode exitCodeOf(core::ErrorKind kind);

/// The result of a failed command: one line on the standard error stream and, with `asJson`, an object on the standard
/// output.
CommandResult failureResult(ExitCode code, const core::Error &error, bool asJson);

} // namespace lycheelanding::control

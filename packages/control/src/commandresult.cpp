#include "lycheelanding/control/commandresult.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>

namespace lycheelanding::control {

namespace {

constexpr std::array<ExitCodeText, 6> texts{{
    {ExitCode::Ok, "ok", "done; for `config status`: every process heard of is on the highest version"},
    {ExitCode::Failed, "failed", "failed; for `config status`: some process is not on the highest version"},
    {ExitCode::Invalid, "invalid", "wrong usage, or the patch is invalid; nothing was changed"},
    {ExitCode::Conflict, "conflict", "the patch names another version than the current one; nothing was changed"},
    {ExitCode::Undecided, "undecided", "the patch may have been accepted: repeat it with the same --patch-id"},
    {ExitCode::Unreachable, "unreachable",
     "no entry, or not the key-value service, was reached; a patch was not applied"},
}};

} // namespace

std::span<const ExitCodeText> exitCodeTexts()
{
    return texts;
}

std::string_view nameOf(ExitCode code)
{
    return texts[static_cast<std::size_t>(code)].name;
}

ExitCode exitCodeOf(core::ErrorKind kind)
{
    switch (kind) {
    case core::ErrorKind::VersionConflict:
        return ExitCode::Conflict;
    case core::ErrorKind::InvalidPatch:
    case core::ErrorKind::MalformedRequest:
    case core::ErrorKind::RequestTooLarge:
    case core::ErrorKind::HeaderTooLarge:
        return ExitCode::Invalid;
    case core::ErrorKind::PatchUndecided:
        return ExitCode::Undecided;
    case core::ErrorKind::PeerUnreachable:
    case core::ErrorKind::StoreUnavailable:
    case core::ErrorKind::BackendServerLost:
    case core::ErrorKind::DeadlineExceeded:
        return ExitCode::Unreachable;
    default:
        return ExitCode::Failed;
    }
}

CommandResult failureResult(ExitCode code, const core::Error &error, bool asJson)
{
    CommandResult result{code, "", fmt::format("lycheectl: {}: {}\n", core::nameOf(error.kind), error.detail)};
    if (asJson) {
        const nlohmann::json json{
            {"result", nameOf(code)}, {"kind", core::nameOf(error.kind)}, {"detail", error.detail}};
        result.output = json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    }
    return result;
}

} // namespace lycheelanding::control

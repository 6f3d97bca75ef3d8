#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

/// The list of all error kinds and the answer that a caller receives for each of them.
namespace lycheelanding::core {

enum class ErrorKind : std::uint8_t {
    MalformedRequest,
    RequestTooLarge,
    HeaderTooLarge,
    UnknownRoute,
    UnknownOrganisation,
    UnknownKey,
    UnknownModel,
    OrganisationLimit,
    Overloaded,
    DeadlineUnmeetable,
    DeadlineExceeded,
    NoBackendServer,
    Draining,
    BackendServerLost,
    BackendServerFailed,
    AnswerTruncated,
    AlreadyClaimed,
    IdempotencyKeyExpired,
    StoreUnavailable,
    ConfigurationStale,
    VersionConflict,
    InvalidPatch,
    PatchUndecided,
    InvalidSettings,
    ProtocolMismatch,
    PeerUnreachable,
    Cancelled,
    Internal,
    // Numbers are sent between processes of different builds, so new kinds are added at the end.
    RequestHeld,
    TurnedAway,
    AnswerMalformed,
    DataCentresEvacuated,
};

inline constexpr std::size_t errorKindCount = static_cast<std::size_t>(ErrorKind::DataCentresEvacuated) + 1;

/// Whether the request reached its backend server, as answers report it to the caller.
enum class Ran : std::uint8_t {
    No,
    Unknown,
    Yes,
};

/// The answer that a caller receives for one error kind.
struct ErrorAnswer
{
    ErrorKind kind;
    std::string_view name;
    int httpStatus;
    Ran ran;
    /// True if a later retry of the same request can succeed; such answers carry Retry-After.
    bool retryCanSucceed;
    std::string_view title;
};

/// One element for each kind, in the order of the enumerators.
std::span<const ErrorAnswer> errorAnswers();

/// Falls back to the answer of Internal for numbers that are not enumerators.
const ErrorAnswer &answerOf(ErrorKind kind);
std::string_view nameOf(ErrorKind kind);
std::optional<ErrorKind> errorKindNamed(std::string_view name);

std::string_view nameOf(Ran ran);
std::optional<Ran> ranNamed(std::string_view name);

} // namespace lycheelanding::core

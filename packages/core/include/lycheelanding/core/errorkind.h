#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

/// The closed list of error kinds and the answer that each of them gives to a caller.
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
};

/// Whether the request reached its backend server.
enum class Ran : std::uint8_t {
    No,
    Unknown,
    Yes,
};

/// The answer of one error kind.
struct ErrorAnswer
{
    ErrorKind kind;
    std::string_view name;
    int httpStatus;
    Ran ran;
    /// True when a later try of the same request can succeed; such answers carry Retry-After.
    bool retryCanSucceed;
    std::string_view title;
};

/// All rows of the table, one for each kind.
std::span<const ErrorAnswer> errorAnswers();

const ErrorAnswer &answerOf(ErrorKind kind);
std::string_view nameOf(ErrorKind kind);
std::optional<ErrorKind> errorKindNamed(std::string_view name);

std::string_view nameOf(Ran ran);
std::optional<Ran> ranNamed(std::string_view name);

} // namespace lycheelanding::core

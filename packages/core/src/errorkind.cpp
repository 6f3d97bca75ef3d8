#include "lycheelanding/core/errorkind.h"

#include "lycheelanding/core/nametable.h"

#include <array>

namespace lycheelanding::core {

namespace {

constexpr std::array<ErrorAnswer, errorKindCount> answers{{
    {ErrorKind::MalformedRequest, "malformedRequest", 400, Ran::No, false, "The request is malformed"},
    {ErrorKind::RequestTooLarge, "requestTooLarge", 413, Ran::No, false, "The request body is too large"},
    {ErrorKind::HeaderTooLarge, "headerTooLarge", 431, Ran::No, false, "The request headers are too large"},
    {ErrorKind::UnknownRoute, "unknownRoute", 404, Ran::No, false, "No service has this path"},
    {ErrorKind::UnknownOrganisation, "unknownOrganisation", 403, Ran::No, false, "The organisation is not configured"},
    {ErrorKind::UnknownKey, "unknownKey", 401, Ran::No, false, "No organisation holds the key"},
    {ErrorKind::UnknownModel, "unknownModel", 404, Ran::No, false, "The model is not configured"},
    {ErrorKind::OrganisationLimit, "organisationLimit", 429, Ran::No, true, "The organisation is over its limit"},
    {ErrorKind::Overloaded, "overloaded", 503, Ran::No, true, "All backend servers are at their limit"},
    {ErrorKind::DeadlineUnmeetable, "deadlineUnmeetable", 503, Ran::No, true, "The deadline cannot be met"},
    {ErrorKind::DeadlineExceeded, "deadlineExceeded", 504, Ran::Unknown, false, "The deadline has passed"},
    {ErrorKind::NoBackendServer, "noBackendServer", 503, Ran::No, true, "No backend server is available"},
    {ErrorKind::Draining, "draining", 503, Ran::No, true, "The process is shutting down"},
    {ErrorKind::BackendServerLost, "backendServerLost", 502, Ran::Unknown, false, "The backend server was lost"},
    {ErrorKind::BackendServerFailed, "backendServerFailed", 502, Ran::Unknown, false, "The backend server failed"},
    {ErrorKind::AnswerTruncated, "answerTruncated", 502, Ran::Unknown, false, "The answer is incomplete"},
    {ErrorKind::AlreadyClaimed, "alreadyClaimed", 409, Ran::Unknown, false, "The idempotency key has been used"},
    {ErrorKind::IdempotencyKeyExpired, "idempotencyKeyExpired", 422, Ran::No, false, "The idempotency key is too old"},
    {ErrorKind::StoreUnavailable, "storeUnavailable", 503, Ran::No, true, "The key-value service is unavailable"},
    {ErrorKind::ConfigurationStale, "configurationStale", 503, Ran::No, true, "The configuration may be out of date"},
    {ErrorKind::VersionConflict, "versionConflict", 412, Ran::No, false, "The named version is not the current one"},
    {ErrorKind::InvalidPatch, "invalidPatch", 422, Ran::No, false, "The patch does not give a valid configuration"},
    {ErrorKind::PatchUndecided, "patchUndecided", 503, Ran::Unknown, true, "The patch may or may not be accepted"},
    {ErrorKind::InvalidSettings, "invalidSettings", 500, Ran::No, false, "The settings are invalid"},
    {ErrorKind::ProtocolMismatch, "protocolMismatch", 502, Ran::No, false, "The peer speaks another protocol version"},
    {ErrorKind::PeerUnreachable, "peerUnreachable", 503, Ran::No, true, "The peer cannot be reached"},
    {ErrorKind::Cancelled, "cancelled", 499, Ran::Unknown, false, "The caller cancelled the request"},
    {ErrorKind::Internal, "internal", 500, Ran::Unknown, false, "An internal error occurred"},
    {ErrorKind::RequestHeld, "requestHeld", 503, Ran::No, true, "Such requests crash backend servers"},
    {ErrorKind::TurnedAway, "turnedAway", 503, Ran::No, true, "All backend servers have asked for a pause"},
    {ErrorKind::AnswerMalformed, "answerMalformed", 502, Ran::Unknown, false, "The answer breaks the protocol"},
    {ErrorKind::DataCentresEvacuated, "dataCentresEvacuated", 503, Ran::No, true,
     "All backend servers are in evacuated data centres"},
}};

constexpr std::array<NameEntry<Ran>, 3> ranNames{{
    {Ran::No, "no"},
    {Ran::Unknown, "unknown"},
    {Ran::Yes, "yes"},
}};

constexpr bool isInKindOrder()
{
    for (std::size_t index = 0; index < answers.size(); ++index) {
        if (static_cast<std::size_t>(answers[index].kind) != index) {
            return false;
        }
    }
    return true;
}

static_assert(isInKindOrder(), "answerOf() indexes the table by kind");

} // namespace

std::span<const ErrorAnswer> errorAnswers()
{
    return answers;
}

const ErrorAnswer &answerOf(ErrorKind kind)
{
    // Kinds are also received in messages of peers, so the number may be out of range.
    const auto index = static_cast<std::size_t>(kind);
    return index < answers.size() ? answers[index] : answers[static_cast<std::size_t>(ErrorKind::Internal)];
}

std::string_view nameOf(ErrorKind kind)
{
    return answerOf(kind).name;
}

std::optional<ErrorKind> errorKindNamed(std::string_view name)
{
    for (const auto &answer : answers) {
        if (answer.name == name) {
            return answer.kind;
        }
    }
    return std::nullopt;
}

std::string_view nameOf(Ran ran)
{
    return nameIn(ranNames, ran);
}

std::optional<Ran> ranNamed(std::string_view name)
{
    return valueIn(ranNames, name);
}

} // namespace lycheelanding::core

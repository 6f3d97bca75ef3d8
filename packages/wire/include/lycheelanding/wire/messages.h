#pragma once

#include "lycheelanding/core/errorkind.h"
#include "lycheelanding/core/ids.h"
#include "lycheelanding/http/httpmessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Messages and frames between the processes of the system.
namespace lycheelanding::wire {

enum class MessageType : std::uint16_t {
    Hello = 1,
    Goodbye = 2,
    Heartbeat = 3,
    RequestStart = 10,
    RequestCancel = 11,
    RequestRefused = 12,
    AnswerHead = 13,
    AnswerChunk = 14,
    AnswerEnd = 15,
    KeptAnswerQuery = 16,
    ConfigurationFetch = 20,
    ConfigurationBody = 21,
    MapSwitchOrder = 30,
    MapSwitchReport = 31,
    ExpertCounts = 32,
    BackendServerDrain = 40,
};

std::string_view nameOf(MessageType type);
/// False for numbers that are not enumerators of MessageType.
bool isKnown(MessageType type);

enum class Role : std::uint8_t {
    Entry,
    Side,
};

std::string_view nameOf(Role role);

enum class ServingState : std::uint8_t {
    Serving,
    Draining,
    Stopped,
};

std::string_view nameOf(ServingState state);

/// First message in both directions of a connection.
struct Hello
{
    static constexpr auto type = MessageType::Hello;

    Role role = Role::Entry;
    core::VmId vm;
    core::DataCentreId dataCentre;
    core::Incarnation incarnation;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(role, vm, dataCentre, incarnation);
    }
};

/// Last message before a connection is closed deliberately; gives the reason.
struct Goodbye
{
    static constexpr auto type = MessageType::Goodbye;

    core::ErrorKind kind = core::ErrorKind::Internal;
    std::string detail;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(kind, detail);
    }
};

struct RankLoad
{
    core::RankIndex rank;
    std::uint64_t outstandingTokens = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(rank, outstandingTokens);
    }
};

/// State and load of the sender; sent periodically and at once when the state changes.
struct Heartbeat
{
    static constexpr auto type = MessageType::Heartbeat;

    ServingState state = ServingState::Serving;
    bool isBackendReachable = false;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    std::uint64_t outstandingTokens = 0;
    /// Age of the load statistics in milliseconds.
    std::uint32_t loadAgeMs = 0;
    std::vector<RankLoad> ranks;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(state, isBackendReachable, inFlight, queued, outstandingTokens, loadAgeMs, ranks);
    }
};

/// Identifies one attempt of a request across all entries and all their incarnations.
struct RequestKey
{
    core::Incarnation entryIncarnation;
    core::RequestNumber number;

    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const RequestKey &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(entryIncarnation, number);
    }
};

/// The parts of a durable claim that the side needs.
struct ClaimReference
{
    std::uint64_t nonce = 0;
    /// The incarnation of the side that the claim names.
    core::Incarnation sideIncarnation;
    /// Wall time in milliseconds since the epoch.
    std::int64_t claimedAtMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(nonce, sideIncarnation, claimedAtMs);
    }
};

struct RequestStart
{
    static constexpr auto type = MessageType::RequestStart;

    RequestKey key;
    core::OrganisationId organisation;
    bool isIdempotent = true;
    /// The durable claim under which a request with an idempotency key runs.
    std::optional<ClaimReference> claim;
    std::uint32_t timeoutMs = 0;
    std::uint8_t urgency = 3;
    std::optional<std::uint64_t> rank;
    std::string method;
    std::string target;
    http::HttpHeaders headers;
    std::string body;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, organisation, isIdempotent, claim, timeoutMs, urgency, rank, method, target, headers, body);
    }
};

struct RequestCancel
{
    static constexpr auto type = MessageType::RequestCancel;

    RequestKey key;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key);
    }
};

/// The request was not sent to the backend server and will not be.
struct RequestRefused
{
    static constexpr auto type = MessageType::RequestRefused;

    RequestKey key;
    core::ErrorKind kind = core::ErrorKind::Overloaded;
    std::string detail;
    std::uint32_t retryAfterMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, kind, detail, retryAfterMs);
    }
};

struct AnswerHead
{
    static constexpr auto type = MessageType::AnswerHead;

    RequestKey key;
    /// Status and headers. The side encodes them once, so that the checksum covers the same bytes at both ends.
    std::string head;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, head);
    }
};

struct AnswerChunk
{
    static constexpr auto type = MessageType::AnswerChunk;

    RequestKey key;
    /// Counted from 0 within the answer.
    std::uint32_t index = 0;
    std::string bytes;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, index, bytes);
    }
};

enum class AnswerOutcome : std::uint8_t {
    /// The backend server's answer is complete.
    Complete,
    /// The request reached the backend server, but no complete answer was received.
    Broken,
};

struct AnswerEnd
{
    static constexpr auto type = MessageType::AnswerEnd;

    RequestKey key;
    AnswerOutcome outcome = AnswerOutcome::Complete;
    std::uint32_t chunkCount = 0;
    /// CRC-32 over the head and the bytes of all chunks.
    std::uint32_t checksum = 0;
    core::ErrorKind kind = core::ErrorKind::BackendServerLost;
    std::string detail;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, outcome, chunkCount, checksum, kind, detail);
    }
};

/// Queries the side that a claim names for the outcome of the claim's attempt.
///
/// The side sends a kept answer as the answer to `key`. If the attempt was never admitted, the side guarantees never to
/// run it and refuses `key` with NoBackendServer; in all other cases it refuses `key` with AlreadyClaimed.
struct KeptAnswerQuery
{
    static constexpr auto type = MessageType::KeptAnswerQuery;

    RequestKey key;
    ClaimReference claim;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, claim);
    }
};

struct ConfigurationFetch
{
    static constexpr auto type = MessageType::ConfigurationFetch;

    /// The version that the sender has.
    core::ConfigurationVersion known;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(known);
    }
};

struct ConfigurationBody
{
    static constexpr auto type = MessageType::ConfigurationBody;

    core::ConfigurationVersion version;
    /// The JSON document of that version.
    std::string document;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(version, document);
    }
};

/// Instructs a side to drain; sent when an operator requests it.
struct BackendServerDrain
{
    static constexpr auto type = MessageType::BackendServerDrain;

    core::VmId vm;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(vm);
    }
};

} // namespace lycheelanding::wire

#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

/// Counters, latency quantiles and the service-level burn report.
namespace lycheelanding::report {

/// All counters; a counter never decreases while the process runs.
enum class Counter : std::uint8_t {
    // Requests
    RequestsReceived,
    RequestsAnswered,
    RequestsCancelled,
    RequestsNotRun,
    RequestsOutcomeUnknown,
    RetriesSent,
    RetriesDeniedByBudget,
    BackendCrashes,
    FeaturesHeld,
    BackendLimitsStated,
    BackendTurnAways,
    RequestsSentInPauses,
    BackendColdStarts,
    ColdTimesInvalid,
    ResponseTimeSamples,
    ResponseTimeSamplesDropped,
    RequestsRefusedForMemory,
    ConnectionsClosedForMemory,
    ConnectionsReplaced,
    // Answers between processes
    AnswersComplete,
    AnswersBroken,
    AnswersMalformed,
    AnswersSkipped,
    FramesOfUnknownRequests,
    FramesMalformed,
    AnswerChecksumMismatches,
    ProtocolMismatches,
    ConnectionsOpened,
    ConnectionsLost,
    // Non-idempotent requests
    ClaimsWritten,
    ClaimsRepeated,
    ClaimConflicts,
    ClaimWritesUnanswered,
    KeptAnswersServed,
    // Key-value service
    StoreReads,
    StoreWrites,
    StoreWatches,
    StoreFailures,
    StoreErasChanged,
    StoreAnswersOutsideEra,
    RegistrationsUnreadable,
    DataCentresEmptied,
    DataCentresTakenBack,
    EvacuationsUnexpected,
    // Membership and shutdown
    PeersLost,
    PeersDraining,
    RequestsRefusedByDraining,
    DrainsStarted,
    DrainsCompleted,
    RequestsCutOff,
    // Expert maps
    PlansMade,
    PlansKeptByHysteresis,
    MapSwitchesStarted,
    MapSwitchesReleased,
    MapSwitchesWithdrawn,
    MapOrdersRejected,
    GroupFormations,
    ExpertsMoved,
    ExpertBytesMoved,
    // Configuration
    PatchesAccepted,
    PatchesConflicting,
    PatchesInvalid,
    PatchesUndecided,
    VersionsInstalled,
    OlderVersionsIgnored,
    ConfigurationBodiesSent,
    ConfigurationBodiesFetched,
    Count,
};

/// Values that can increase and decrease.
enum class Gauge : std::uint8_t {
    ConfigurationVersion,
    ConfigurationStale,
    Ready,
    Draining,
    RequestsInFlight,
    RequestsQueued,
    BackendsSlow,
    BackendsLimited,
    PeersConnected,
    CallerMemoryBytes,
    CallerMemoryLimitBytes,
    ConnectionsWaitingForMemory,
    MapVersion,
    BackendsCold,
    EvacuatedDataCentres,
    Count,
};

/// Durations for which quantiles are estimated.
enum class Latency : std::uint8_t {
    FirstToken,
    BetweenTokens,
    WholeAnswer,
    Queueing,
    StoreCall,
    MapSwitch,
    Count,
};

/// Name of a metric without the common prefix and the suffix of its type, and its help text.
struct MetricText
{
    std::string_view name;
    std::string_view help;
};

inline constexpr auto counterCount = static_cast<std::size_t>(Counter::Count);
inline constexpr auto gaugeCount = static_cast<std::size_t>(Gauge::Count);
inline constexpr auto latencyCount = static_cast<std::size_t>(Latency::Count);

/// Names and help texts in the order of the enumerators.
std::span<const MetricText> counterTexts();
std::span<const MetricText> gaugeTexts();
std::span<const MetricText> latencyTexts();

} // namespace lycheelanding::report

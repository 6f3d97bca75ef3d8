#include "lycheelanding/report/counters.h"

#include <array>

namespace lycheelanding::report {

namespace {

template <typename Enum>
struct MetricRow
{
    Enum value;
    MetricText text;
};

/// The texts of a table; checks at compile time that its rows are in the order of their enumerators.
template <typename Enum, std::size_t Size>
consteval std::array<MetricText, Size> textsInOrder(const std::array<MetricRow<Enum>, Size> &rows)
{
    static_assert(Size == static_cast<std::size_t>(Enum::Count), "the table needs one row for each enumerator");
    std::array<MetricText, Size> texts{};
    for (std::size_t index = 0; index < Size; ++index) {
        if (static_cast<std::size_t>(rows[index].value) != index) {
            throw "the table rows must be in the order of the enumerators";
        }
        texts[index] = rows[index].text;
    }
    return texts;
}

constexpr auto counters = textsInOrder<Counter, counterCount>({{
    {Counter::RequestsReceived, {"requests_received", "Requests received from callers or entries"}},
    {Counter::RequestsAnswered, {"requests_answered", "Requests whose whole answer was passed on"}},
    {Counter::RequestsCancelled, {"requests_cancelled", "Requests that their caller cancelled"}},
    {Counter::RequestsNotRun, {"requests_not_run", "Refusals that say that the request did not run"}},
    {Counter::RequestsOutcomeUnknown, {"requests_outcome_unknown", "Failures that leave open whether it ran"}},
    {Counter::RetriesSent, {"retries_sent", "Attempts after the first one"}},
    {Counter::RetriesDeniedByBudget, {"retries_denied_by_budget", "Retries not sent for lack of retry budget"}},
    {Counter::BackendCrashes, {"backend_crashes", "Attempts lost before their answer as the backend server crashed"}},
    {Counter::FeaturesHeld,
     {"request_features_held", "Features whose requests began to be held, as they crash backend servers"}},
    {Counter::BackendLimitsStated,
     {"backend_limits_stated", "Limits of requests that backend servers began to state, or changed"}},
    {Counter::BackendTurnAways,
     {"backend_turn_aways", "Times that a backend server asked for no requests for a while"}},
    {Counter::RequestsSentInPauses,
     {"requests_sent_in_pauses",
      "Requests turned away by a backend server that had asked for none when they were sent"}},
    {Counter::BackendColdStarts, {"backend_cold_starts", "Backend servers that became cold"}},
    {Counter::ColdTimesInvalid, {"cold_times_invalid", "Invalid cold times and rates, which were not applied"}},
    {Counter::ResponseTimeSamples,
     {"response_time_samples", "Response times from which the capacity of backend servers is estimated"}},
    {Counter::ResponseTimeSamplesDropped,
     {"response_time_samples_dropped", "Response times dropped as invalid or of no current backend server"}},
    {Counter::RequestsRefusedForMemory,
     {"requests_refused_for_memory", "Requests refused as no memory became free to receive them"}},
    {Counter::ConnectionsClosedForMemory,
     {"connections_closed_for_memory", "Callers' connections without progress closed to free memory"}},
    {Counter::ConnectionsReplaced, {"connections_replaced", "Inactive connections of callers closed to accept others"}},
    {Counter::AnswersComplete, {"answers_complete", "Answers with final frame, chunk count and checksum in order"}},
    {Counter::AnswersBroken, {"answers_broken", "Answers that ended without their final frame"}},
    {Counter::AnswersMalformed, {"answers_malformed", "Answers of backend servers that broke the protocol or a limit"}},
    {Counter::AnswersSkipped,
     {"answers_skipped", "Answers of backend servers that belonged to no request in progress"}},
    {Counter::FramesOfUnknownRequests, {"frames_of_unknown_requests", "Frames dropped as their request is unknown"}},
    {Counter::FramesMalformed, {"frames_malformed", "Frames that could not be read"}},
    {Counter::AnswerChecksumMismatches, {"answer_checksum_mismatches", "Answers with a wrong checksum or count"}},
    {Counter::ProtocolMismatches, {"protocol_mismatches", "Connections refused for their protocol version"}},
    {Counter::ConnectionsOpened, {"connections_opened", "Connections opened to other processes"}},
    {Counter::ConnectionsLost, {"connections_lost", "Connections to other processes that broke"}},
    {Counter::ClaimsWritten, {"claims_written", "Idempotency keys claimed in the key-value service"}},
    {Counter::ClaimsRepeated, {"claims_repeated", "Requests whose idempotency key was claimed before"}},
    {Counter::ClaimConflicts, {"claim_conflicts", "Claim writes that met another writer"}},
    {Counter::ClaimWritesUnanswered, {"claim_writes_unanswered", "Claim writes without an answer"}},
    {Counter::KeptAnswersServed, {"kept_answers_served", "Repeats answered with the kept answer"}},
    {Counter::StoreReads, {"store_reads", "Reads of the key-value service"}},
    {Counter::StoreWrites, {"store_writes", "Writes to the key-value service"}},
    {Counter::StoreWatches, {"store_watches", "Watches at the key-value service"}},
    {Counter::StoreFailures, {"store_failures", "Calls of the key-value service without an answer"}},
    {Counter::StoreErasChanged, {"store_eras_changed", "Times that the store came back from an older copy"}},
    {Counter::StoreAnswersOutsideEra,
     {"store_answers_outside_era", "Answers of the store dropped as they are of no current era"}},
    {Counter::RegistrationsUnreadable,
     {"registrations_unreadable", "Registrations of backend servers that could not be read"}},
    {Counter::DataCentresEmptied, {"data_centres_emptied", "Evacuations of data centres begun"}},
    {Counter::DataCentresTakenBack, {"data_centres_taken_back", "Evacuations of data centres ended"}},
    {Counter::EvacuationsUnexpected,
     {"evacuations_unexpected", "Evacuation requests with an unexpected name or value"}},
    {Counter::PeersLost, {"peers_lost", "Peers whose heartbeats ceased"}},
    {Counter::PeersDraining, {"peers_draining", "Peers that were seen to begin draining"}},
    {Counter::RequestsRefusedByDraining, {"requests_refused_by_draining", "Requests refused by a draining process"}},
    {Counter::DrainsStarted, {"drains_started", "Graceful shutdowns and drains begun"}},
    {Counter::DrainsCompleted, {"drains_completed", "Graceful shutdowns and drains that ended in time"}},
    {Counter::RequestsCutOff, {"requests_cut_off", "Requests running when the drain limit had passed"}},
    {Counter::PlansMade, {"plans_made", "Expert placements planned"}},
    {Counter::PlansKeptByHysteresis, {"plans_kept_by_hysteresis", "Plans that gained too little to move experts"}},
    {Counter::MapSwitchesStarted, {"map_switches_started", "Expert map switches begun"}},
    {Counter::MapSwitchesReleased, {"map_switches_released", "Expert map switches that took the new map"}},
    {Counter::MapSwitchesWithdrawn, {"map_switches_withdrawn", "Expert map switches that kept the old map"}},
    {Counter::MapOrdersRejected, {"map_orders_rejected", "Map orders of an old session, generation or coordinator"}},
    {Counter::GroupFormations, {"group_formations", "Formations of rank groups under a new generation"}},
    {Counter::ExpertsMoved, {"experts_moved", "Expert replicas loaded for a new map"}},
    {Counter::ExpertBytesMoved, {"expert_bytes_moved", "Bytes of expert weights loaded for a new map"}},
    {Counter::PatchesAccepted, {"patches_accepted", "Configuration patches accepted"}},
    {Counter::PatchesConflicting, {"patches_conflicting", "Configuration patches for another version"}},
    {Counter::PatchesInvalid, {"patches_invalid", "Configuration patches at fault"}},
    {Counter::PatchesUndecided, {"patches_undecided", "Configuration patches answered as undecided"}},
    {Counter::VersionsInstalled, {"versions_installed", "Configuration versions put in force"}},
    {Counter::OlderVersionsIgnored, {"older_versions_ignored", "Configuration bodies that were not newer"}},
    {Counter::ConfigurationBodiesSent, {"configuration_bodies_sent", "Configuration bodies sent to peers"}},
    {Counter::ConfigurationBodiesFetched, {"configuration_bodies_fetched", "Configuration bodies got from peers"}},
}});

constexpr auto gauges = textsInOrder<Gauge, gaugeCount>({{
    {Gauge::ConfigurationVersion, {"configuration_version", "Configuration version in force"}},
    {Gauge::ConfigurationStale, {"configuration_stale", "1 while the configuration may be out of date"}},
    {Gauge::Ready, {"ready", "1 while the process takes new work"}},
    {Gauge::Draining, {"draining", "1 while the process drains"}},
    {Gauge::RequestsInFlight, {"requests_in_flight", "Requests in progress"}},
    {Gauge::RequestsQueued, {"requests_queued", "Requests that wait"}},
    {Gauge::BackendsSlow, {"backends_slow", "Backend servers estimated as slower than others of their service"}},
    {Gauge::BackendsLimited, {"backends_limited", "Backend servers with an estimated limit of requests in progress"}},
    {Gauge::PeersConnected, {"peers_connected", "Connections to other processes"}},
    {Gauge::CallerMemoryBytes, {"caller_memory_bytes", "Memory drawn for requests and unsent answers of callers"}},
    {Gauge::CallerMemoryLimitBytes, {"caller_memory_limit_bytes", "Memory that callers may occupy"}},
    {Gauge::ConnectionsWaitingForMemory,
     {"connections_waiting_for_memory", "Callers' connections that are not read as there is no memory"}},
    {Gauge::MapVersion, {"map_version", "Expert map version in force"}},
    {Gauge::BackendsCold, {"backends_cold", "Backend servers that are cold"}},
    {Gauge::EvacuatedDataCentres, {"evacuated_data_centres", "Data centres that are evacuated"}},
}});

constexpr auto latencies = textsInOrder<Latency, latencyCount>({{
    {Latency::FirstToken, {"first_token", "Time to the first token of an answer"}},
    {Latency::BetweenTokens, {"between_tokens", "Time between two tokens of an answer"}},
    {Latency::WholeAnswer, {"whole_answer", "Time to the end of an answer"}},
    {Latency::Queueing, {"queueing", "Time in the queue"}},
    {Latency::StoreCall, {"store_call", "Time of a call of the key-value service"}},
    {Latency::MapSwitch, {"map_switch", "Time of an expert map switch"}},
}});

} // namespace

std::span<const MetricText> counterTexts()
{
    return counters;
}

std::span<const MetricText> gaugeTexts()
{
    return gauges;
}

std::span<const MetricText> latencyTexts()
{
    return latencies;
}

} // namespace lycheelanding::report

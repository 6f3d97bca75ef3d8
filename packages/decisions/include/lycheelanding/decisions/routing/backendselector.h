#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/random.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/decisions/routing/healthtracker.h"
#include "lycheelanding/decisions/routing/loadreport.h"
#include "lycheelanding/decisions/routing/rankloadestimator.h"
#include "lycheelanding/decisions/routing/routerequest.h"
#include "lycheelanding/decisions/routing/speedtracker.h"

#include <algorithm>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lycheelanding::decisions::routing {

struct SelectorSettings
{
    HealthSettings health;
    /// Time constant with which a load report loses its weight.
    core::Duration reportTimeConstant = std::chrono::milliseconds(500);
    /// Random part of a rank's cost, as a multiple of the work that the entries together send to it in a report's age.
    double ditherWeight = 0.4;
    /// Outstanding tokens that a rank preferred by a prefix may have above the cheapest one, for each prompt token that
    /// its prefix cache may save; 0 turns affinity off.
    double affinityWeight = 1.0;
    /// Work that each request adds to a rank by its place in the batch, in tokens.
    double requestWeight = 120.0;
    /// Weight of an outstanding token.
    double tokenWeight = 0.2;
    /// Outstanding tokens that a choice in another data centre has to save.
    double crossDataCentrePenaltyTokens = 20.0;
    /// Where a smaller part of the backend servers that serve a request is available, those set aside count as well: a
    /// failing one is better than none. 0 turns this off.
    double minAvailableFraction = 0.0;
};

/// Chooses backend server and rank for each request of one entry. Also serves plain services, whose backend servers
/// count as one rank 0 each. Call requestSent() in the same step as the choose() whose choice is followed.
class BackendSelector
{
public:
    BackendSelector(SelectorSettings settings, std::uint64_t seed);

    /// Replaces the candidates; those that stay keep their load and health.
    void setCandidates(std::vector<BackendCandidate> candidates);
    /// Number of entries that send to the same backend servers, this one included.
    void setLiveEntries(std::size_t entries) { m_liveEntries = std::max<std::size_t>(entries, 1); }
    void reportLoad(const core::VmId &vm, const LoadReport &report);
    /// The backend server gets no new request until it is removed; one that returns is removed first, then set again.
    void setLeaving(const core::VmId &vm);
    void remove(const core::VmId &vm);

    /// Adds the request's expected tokens, less those saved, to the rank's load.
    void requestSent(AttemptId attempt, const Choice &choice, std::uint64_t expectedTokens, core::TimePoint now);
    /// `promptTokens` of the attempt's work are done.
    void firstToken(AttemptId attempt, std::uint64_t promptTokens, core::TimePoint now);
    void tokenProgress(AttemptId attempt, std::uint64_t tokens, core::TimePoint now);
    void requestEnded(AttemptId attempt, Outcome outcome, core::TimePoint now);

    /// The errors are UnknownModel (no candidate serves the request) and NoBackendServer, with the time of the next
    /// probe as retryAfter.
    core::Result<Choice> choose(const RouteRequest &request, core::TimePoint now);

    /// True when the backend server may get ordinary requests.
    bool isAvailable(const core::VmId &vm, core::TimePoint now) const;
    std::size_t inFlightRequests(const core::VmId &vm) const;
    /// Requests that the backend server's busiest rank is likely to have, from all entries.
    double estimatedRequests(const core::VmId &vm, core::TimePoint now) const;
    std::uint64_t inFlightTokens(const core::VmId &vm) const;

private:
    struct Rank
    {
        core::RankIndex rank;
        std::uint64_t hash = 0;
        RankLoadEstimator tokens;
        RankLoadEstimator requests;
        /// Random part of the cost in [0, 1), drawn anew with each request sent.
        double dither = 0.0;
    };

    struct Server
    {
        BackendCandidate candidate;
        std::vector<Rank> ranks;
        std::size_t inFlight = 0;
        bool leaving = false;
    };

    struct Attempt
    {
        core::VmId vm;
        core::RankIndex rank;
        std::uint64_t tokensLeft = 0;
        /// When the last token came, or when the attempt was sent.
        core::TimePoint lastToken;
        bool hasFirstToken = false;
    };

    /// One rank that the request may go to.
    struct Target
    {
        const Server *server = nullptr;
        const Rank *rank = nullptr;
        double cost = 0.0;
    };

    static bool serves(const BackendCandidate &candidate, const RouteRequest &request);
    std::vector<Rank> ranksOf(const BackendCandidate &candidate);
    Rank *rankOf(const core::VmId &vm, core::RankIndex rank);
    void recordTokensDone(Attempt &attempt, std::uint64_t tokens, core::TimePoint now);
    std::vector<Target> targetsFor(const RouteRequest &request, core::TimePoint now) const;
    bool areTooFewAvailable(const RouteRequest &request, core::TimePoint now) const;
    std::optional<Choice> probeFor(const RouteRequest &request, core::TimePoint now) const;
    void addCosts(std::vector<Target> &targets, const RouteRequest &request, core::TimePoint now) const;
    Choice pick(const std::vector<Target> &targets, const RouteRequest &request) const;
    static Choice choiceOf(const Target &target, std::uint64_t savedTokens);
    /// Work that all entries may have sent to one rank since the reports.
    double unreportedWork(const std::vector<Target> &targets, core::TimePoint now) const;
    void updateTrackedServers();
    void recordSent(double work, core::TimePoint now);

    SelectorSettings m_settings;
    core::RandomSequence m_random;
    HealthTracker m_health;
    SpeedTracker m_speed;
    std::map<core::VmId, Server> m_servers;
    std::unordered_map<AttemptId, Attempt> m_attempts;
    std::size_t m_liveEntries = 1;
    /// Smoothed rate of the own work sent, in weighted tokens per second.
    double m_sentRate = 0.0;
    double m_sentInPeriod = 0.0;
    core::TimePoint m_periodStart;
};

} // namespace lycheelanding::decisions::routing

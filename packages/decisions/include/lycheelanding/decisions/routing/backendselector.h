#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/random.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/decisions/routing/capacityestimator.h"
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
    /// Time constant of the exponential decay of a load report's weight.
    core::Duration reportTimeConstant = std::chrono::milliseconds(500);
    /// Amplitude of the random term of a rank's cost, as a multiple of the work that all entries together are likely to
    /// have sent to the rank since its last load report.
    double ditherWeight = 0.4;
    /// Prefix affinity: how far the cost of a rank preferred for a prefix may exceed the lowest cost, per prompt token
    /// that the prefix cache may save. 0 disables affinity.
    double affinityWeight = 1.0;
    /// Cost of a request's slot in the batch, in tokens.
    double requestWeight = 120.0;
    /// Cost of an outstanding token.
    double tokenWeight = 0.2;
    /// Added to the cost of a rank in another data centre, in tokens.
    double crossDataCentrePenaltyTokens = 20.0;
    /// Cost of a rank of a slow backend server, as a multiple of its cost with one request more.
    double slowFactor = 3.0;
    /// Panic threshold: if a smaller fraction of the backend servers that serve a request is available, their health is
    /// ignored, since a failing server is better than none. 0 disables this.
    double minAvailableFraction = 0.0;
};

/// Chooses a backend server and a rank for each request of one entry. For a plain service, each backend server counts
/// as a single rank 0. Call requestSent() directly after the choose() that it follows, without another call in between.
class BackendSelector
{
public:
    BackendSelector(SelectorSettings settings, std::uint64_t seed);

    /// Whether the candidate has the service, or the model, version and adapter, of the request, and is not evacuated.
    static bool serves(const BackendCandidate &candidate, const RouteRequest &request);

    /// Replaces the candidates; those that remain keep their load and health.
    void setCandidates(std::vector<BackendCandidate> candidates);
    /// Sets the number of entries that send to the same backend servers, including this one.
    void setLiveEntries(std::size_t entries) { m_liveEntries = std::max<std::size_t>(entries, 1); }
    void reportLoad(const core::VmId &vm, const LoadReport &report);
    /// The backend server gets no new requests. To use it again, remove it and add it as a candidate again.
    void setLeaving(const core::VmId &vm) { m_health.leaves(vm); }
    /// The backend server wants no requests until then. Returns whether it has not said so before.
    bool turnedAway(const core::VmId &vm, core::TimePoint until, core::TimePoint now)
    {
        return m_health.turnedAway(vm, until, now);
    }
    /// The earliest time at which a backend server that serves the request takes requests again; nullopt unless all of
    /// them have turned requests away. Those that leave do not count.
    std::optional<core::TimePoint> turnedAwayUntil(const RouteRequest &request, core::TimePoint now) const;
    void remove(const core::VmId &vm);

    /// Adds the expected tokens of the request, minus those saved by the prefix cache, to the load of the rank.
    void requestSent(AttemptId attempt, const Choice &choice, std::uint64_t expectedTokens, core::TimePoint now);
    /// The first token has arrived, so `promptTokens` of the attempt's expected tokens have been processed.
    void firstToken(AttemptId attempt, std::uint64_t promptTokens, core::TimePoint now);
    void tokenProgress(AttemptId attempt, std::uint64_t tokens, core::TimePoint now);
    /// The request is written to its connection, which may have had to be opened since requestSent().
    void requestWritten(AttemptId attempt, core::TimePoint now);
    /// The answer of the request has begun, whatever its status.
    void answerBegan(AttemptId attempt, core::TimePoint now);
    void requestEnded(AttemptId attempt, Outcome outcome, core::TimePoint now);
    /// The VM of this entry was suspended.
    void suspended(core::TimePoint now) { m_capacity.suspended(now); }

    /// Errors: UnknownModel if no candidate serves the request; NoBackendServer if none is available, with the time
    /// until the next probe as retryAfter.
    core::Result<Choice> choose(const RouteRequest &request, core::TimePoint now);

    /// True if the backend server may get requests other than probes.
    bool isAvailable(const core::VmId &vm, core::TimePoint now) const;
    std::size_t inFlightRequests(const core::VmId &vm) const;
    /// Fraction of its normal load that the backend server should get; below 1 while it returns to service.
    double loadFraction(const core::VmId &vm, core::TimePoint now) const { return m_health.loadFraction(vm, now); }
    /// Estimated requests of all entries at the busiest rank of the backend server.
    double estimatedRequests(const core::VmId &vm, core::TimePoint now) const;
    std::uint64_t inFlightTokens(const core::VmId &vm) const;
    const CapacityEstimator &capacity() const { return m_capacity; }

private:
    struct Rank
    {
        core::RankIndex rank;
        std::uint64_t hash = 0;
        RankLoadEstimator tokens;
        RankLoadEstimator requests;
        /// Random term of the cost, in [0, 1); redrawn with each request sent.
        double dither = 0.0;
    };

    struct Server
    {
        BackendCandidate candidate;
        std::vector<Rank> ranks;
        std::size_t inFlight = 0;
    };

    struct Attempt
    {
        core::VmId vm;
        core::RankIndex rank;
        std::uint64_t tokensLeft = 0;
        /// Time of the last token, or of sending before the first token.
        core::TimePoint lastToken;
        bool hasFirstToken = false;
        std::uint64_t incarnation = 0;
        /// Requests of this entry at the backend server when this one was sent, itself included.
        std::size_t inProgress = 0;
        bool isEstimated = false;
        /// Set until the response time is known.
        std::optional<core::TimePoint> writtenAt;
    };

    /// One rank to which the request may be sent.
    struct Target
    {
        const Server *server = nullptr;
        const Rank *rank = nullptr;
        double cost = 0.0;
    };

    std::vector<Rank> ranksOf(const BackendCandidate &candidate);
    Rank *rankOf(const core::VmId &vm, core::RankIndex rank);
    void recordTokensDone(Attempt &attempt, std::uint64_t tokens, core::TimePoint now);
    std::vector<Target> targetsFor(const RouteRequest &request, core::TimePoint now) const;
    /// Whether the backend server has said itself that it wants no requests. Its health says nothing against it.
    bool isClosed(const core::VmId &vm, core::TimePoint now) const;
    bool areTooFewAvailable(const RouteRequest &request, core::TimePoint now) const;
    std::optional<Choice> probeFor(const RouteRequest &request, core::TimePoint now) const;
    /// Keeps only those that are not slow, if there are any.
    static void removeSlow(std::vector<Target> &targets, const RouteRequest &request);
    void addCosts(std::vector<Target> &targets, const RouteRequest &request, core::TimePoint now) const;
    /// Costs of plain backend servers by the time in which they are expected to answer.
    void addExpectedTimes(std::vector<Target> &targets, core::TimePoint now) const;
    static bool usesExpectedTimes(const std::vector<Target> &targets, core::TimePoint now);
    /// Redraws the random terms of all backend servers that compete with this one by expected time.
    void redrawCompetitors(const Server &server);
    static ResponseSample sampleOf(const Attempt &attempt, core::TimePoint writtenAt, core::TimePoint now);
    void recordEndWithoutAnswer(const Attempt &attempt, Outcome outcome, core::TimePoint now);
    Choice pick(const std::vector<Target> &targets, const RouteRequest &request) const;
    static Choice choiceOf(const Target &target, std::uint64_t savedTokens);
    /// Work per rank that all entries are likely to have sent since the load reports.
    double unreportedWork(const std::vector<Target> &targets, core::TimePoint now) const;
    void updateTrackedServers();
    void recordSent(double work, core::TimePoint now);

    SelectorSettings m_settings;
    core::RandomSequence m_random;
    HealthTracker m_health;
    SpeedTracker m_speed;
    CapacityEstimator m_capacity;
    std::map<core::VmId, Server> m_servers;
    std::unordered_map<AttemptId, Attempt> m_attempts;
    std::size_t m_liveEntries = 1;
    /// Smoothed rate of the work sent by this entry, in weighted tokens per second.
    double m_sentRate = 0.0;
    double m_sentInPeriod = 0.0;
    core::TimePoint m_periodStart;
};

} // namespace lycheelanding::decisions::routing

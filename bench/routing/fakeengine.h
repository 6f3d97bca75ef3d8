#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/routing/loadreport.h"
#include "lycheelanding/decisions/routing/routerequest.h"

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <vector>

namespace lycheelanding::bench::routing {

/// Batch size, step duration and prefix cache of each rank of a fake engine. The duration of a step grows with the
/// sequences that it decodes and the prompt tokens that it prefills.
struct EngineModel
{
    std::size_t batchSize = 16;
    std::uint32_t prefillTokensPerStep = 512;
    core::Duration baseStepDuration = std::chrono::milliseconds(8);
    core::Duration durationPerSequence = std::chrono::microseconds(250);
    core::Duration durationPerPrefillToken = std::chrono::microseconds(20);
    /// Capacity of each rank's prefix cache, in prompt tokens.
    std::uint64_t cacheCapacityTokens = 24000;
};

/// A request that is queued or running in an engine.
struct EngineJob
{
    std::size_t entry = 0;
    decisions::routing::AttemptId attempt;
    std::uint32_t remainingPromptTokens = 0;
    std::uint32_t remainingOutputTokens = 0;
    std::uint32_t producedTokens = 0;
    std::optional<decisions::routing::PromptPrefix> prefix;
    /// Queued and prefilled behind all jobs of normal priority.
    bool isLowPriority = false;
};

enum class EngineEventKind : std::uint8_t { FirstToken, Token, Ended };

struct EngineEvent
{
    EngineEventKind kind;
    std::size_t entry;
    decisions::routing::AttemptId attempt;
};

/// The ranks of a group, which run each step together. Each has a queue, a batch and a prefix cache.
class FakeEngineGroup
{
public:
    FakeEngineGroup(EngineModel model, std::size_t ranks) : m_model(model), m_ranks(ranks) { }

    void submit(std::size_t rank, EngineJob job);
    void cancel(std::size_t rank, std::size_t entry, decisions::routing::AttemptId attempt);
    void setSlowdown(std::size_t rank, double factor) { m_ranks[rank].slowdown = factor; }
    void stall(std::size_t rank, core::TimePoint until) { m_ranks[rank].stalledUntil = until; }

    bool hasWork() const;
    bool isStepping() const { return m_isStepping; }
    /// Fills the batches and starts a step. Returns its duration, which the slowest rank determines.
    core::Duration beginStep(core::TimePoint now);
    /// Ends the step and returns the tokens and completions that it produced.
    std::vector<EngineEvent> endStep();

    std::uint64_t outstandingTokens(std::size_t rank) const;
    std::uint32_t queued(std::size_t rank) const { return static_cast<std::uint32_t>(m_ranks[rank].queue.size()); }
    std::uint32_t running(std::size_t rank) const { return static_cast<std::uint32_t>(m_ranks[rank].batch.size()); }
    std::size_t rankCount() const { return m_ranks.size(); }
    std::uint64_t prefixLookups() const { return m_lookups; }
    std::uint64_t prefixHits() const { return m_hits; }

private:
    struct Rank
    {
        std::deque<EngineJob> queue;
        std::vector<EngineJob> batch;
        /// Most recently used first.
        std::list<decisions::routing::PromptPrefix> cache;
        std::uint64_t cachedTokens = 0;
        double slowdown = 1.0;
        core::TimePoint stalledUntil;
    };

    void fillBatch(Rank &rank);
    core::Duration stepDuration(const Rank &rank) const;
    void advance(Rank &rank, std::vector<EngineEvent> &events);
    bool isCached(Rank &rank, const decisions::routing::PromptPrefix &prefix) const;
    void addToCache(Rank &rank, const decisions::routing::PromptPrefix &prefix) const;

    EngineModel m_model;
    std::vector<Rank> m_ranks;
    bool m_isStepping = false;
    std::uint64_t m_lookups = 0;
    std::uint64_t m_hits = 0;
};

} // namespace lycheelanding::bench::routing

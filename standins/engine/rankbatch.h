#pragma once

#include "engine/chatrequest.h"
#include "engine/prefixcache.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace lycheelanding::standins::engine {

using RequestId = std::uint64_t;

struct EmittedToken
{
    RequestId request = 0;
    std::uint32_t index = 0;
    bool isLast = false;
};

/// Continuous batching on one rank: a bounded batch of running sequences and a queue ordered by urgency, then arrival.
class RankBatch
{
public:
    RankBatch(Rank rank, const EngineSettings &settings);

    void add(RequestId id, const ChatRequest &request);
    void cancel(RequestId id);
    /// Runs one step: each running sequence prefills part of its prompt or emits one token.
    void runStep(std::vector<EmittedToken> &tokens, std::vector<CacheEvent> &events);

    Rank rank() const { return m_rank; }
    std::size_t runningCount() const { return m_running.size(); }
    std::size_t queuedCount() const { return m_queue.size(); }
    /// Prompt and answer tokens that still have to be computed.
    std::uint64_t outstandingTokens() const;

private:
    struct Sequence
    {
        std::vector<BlockHash> blocks;
        std::uint64_t remainingPrefillTokens = 0;
        std::uint32_t answerTokens = 0;
        std::uint32_t emittedTokens = 0;
    };

    /// Urgency and request id; ids grow with arrival.
    using QueueKey = std::pair<std::uint32_t, RequestId>;

    void fillBatch(std::vector<CacheEvent> &events);

    const Rank m_rank;
    const std::uint32_t m_batchSize;
    const std::uint32_t m_prefillTokensPerStep;
    PrefixCache m_cache;
    std::map<QueueKey, Sequence> m_queue;
    std::map<RequestId, Sequence> m_running;
};

} // namespace lycheelanding::standins::engine

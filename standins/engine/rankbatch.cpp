#include "engine/rankbatch.h"

#include <algorithm>

namespace lycheelanding::standins::engine {

RankBatch::RankBatch(Rank rank, const EngineSettings &settings)
    : m_rank(rank), m_batchSize(settings.batchSize), m_prefillTokensPerStep(settings.prefillTokensPerStep),
      m_cache(rank, settings.cacheBlocks)
{ }

void RankBatch::add(RequestId id, const ChatRequest &request)
{
    Sequence sequence;
    sequence.blocks = blockHashes(request.promptTokens);
    sequence.remainingPrefillTokens = request.promptTokens.size();
    sequence.answerTokens = request.maxTokens;
    m_queue.emplace(QueueKey{request.urgency, id}, std::move(sequence));
}

void RankBatch::cancel(RequestId id)
{
    m_running.erase(id);
    std::erase_if(m_queue, [id](const auto &entry) { return entry.first.second == id; });
}

void RankBatch::runStep(std::vector<EmittedToken> &tokens, std::vector<CacheEvent> &events)
{
    fillBatch(events);
    for (auto &[id, sequence] : m_running) {
        if (sequence.remainingPrefillTokens > 0) {
            sequence.remainingPrefillTokens
                -= std::min<std::uint64_t>(sequence.remainingPrefillTokens, m_prefillTokensPerStep);
            continue;
        }
        const std::uint32_t index = sequence.emittedTokens++;
        tokens.push_back({id, index, sequence.emittedTokens == sequence.answerTokens});
    }
    std::erase_if(m_running, [](const auto &entry) { return entry.second.emittedTokens == entry.second.answerTokens; });
}

void RankBatch::fillBatch(std::vector<CacheEvent> &events)
{
    while (m_running.size() < m_batchSize && !m_queue.empty()) {
        auto next = m_queue.extract(m_queue.begin());
        Sequence sequence = std::move(next.mapped());
        sequence.remainingPrefillTokens -= m_cache.matchedBlocks(sequence.blocks) * tokensPerCacheBlock;
        m_cache.store(sequence.blocks, events);
        m_running.emplace(next.key().second, std::move(sequence));
    }
}

std::uint64_t RankBatch::outstandingTokens() const
{
    std::uint64_t tokens = 0;
    for (const auto &[key, sequence] : m_queue) {
        tokens += sequence.remainingPrefillTokens + sequence.answerTokens;
    }
    for (const auto &[id, sequence] : m_running) {
        tokens += sequence.remainingPrefillTokens + sequence.answerTokens - sequence.emittedTokens;
    }
    return tokens;
}

} // namespace lycheelanding::standins::engine

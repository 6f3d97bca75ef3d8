#include "fakeengine.h"

#include <algorithm>

namespace lycheelanding::bench::routing {

namespace {

// Engines do not know the length of an answer in advance, so they assume this one when they report their load.
constexpr std::uint32_t expectedOutputTokens = 80;

bool isLowPriorityJob(const EngineJob &job)
{
    return job.isLowPriority;
}

} // namespace

void FakeEngineGroup::submit(std::size_t rank, EngineJob job)
{
    auto &queue = m_ranks[rank].queue;
    const auto position = job.isLowPriority ? queue.end() : std::find_if(queue.begin(), queue.end(), isLowPriorityJob);
    queue.insert(position, job);
}

void FakeEngineGroup::cancel(std::size_t rank, std::size_t entry, decisions::routing::AttemptId attempt)
{
    const auto isMatch = [&](const EngineJob &job) { return job.entry == entry && job.attempt == attempt; };
    std::erase_if(m_ranks[rank].queue, isMatch);
    std::erase_if(m_ranks[rank].batch, isMatch);
}

bool FakeEngineGroup::hasWork() const
{
    return std::any_of(m_ranks.begin(), m_ranks.end(),
                       [](const Rank &rank) { return !rank.queue.empty() || !rank.batch.empty(); });
}

core::Duration FakeEngineGroup::beginStep(core::TimePoint now)
{
    m_isStepping = true;
    core::Duration maxDuration = core::Duration::zero();
    for (auto &rank : m_ranks) {
        fillBatch(rank);
        maxDuration = std::max({maxDuration, stepDuration(rank), rank.stalledUntil - now});
    }
    return maxDuration;
}

std::vector<EngineEvent> FakeEngineGroup::endStep()
{
    m_isStepping = false;
    std::vector<EngineEvent> events;
    for (auto &rank : m_ranks) {
        advance(rank, events);
    }
    return events;
}

std::uint64_t FakeEngineGroup::outstandingTokens(std::size_t rank) const
{
    std::uint64_t tokens = 0;
    const auto add = [&](const EngineJob &job) {
        tokens += job.remainingPromptTokens
            + std::max<std::uint32_t>(1, expectedOutputTokens - std::min(job.producedTokens, expectedOutputTokens));
    };
    std::for_each(m_ranks[rank].queue.begin(), m_ranks[rank].queue.end(), add);
    std::for_each(m_ranks[rank].batch.begin(), m_ranks[rank].batch.end(), add);
    return tokens;
}

void FakeEngineGroup::fillBatch(Rank &rank)
{
    while (rank.batch.size() < m_model.batchSize && !rank.queue.empty()) {
        EngineJob job = rank.queue.front();
        rank.queue.pop_front();
        if (job.prefix) {
            ++m_lookups;
            if (isCached(rank, *job.prefix)) {
                ++m_hits;
                job.remainingPromptTokens -= static_cast<std::uint32_t>(job.prefix->tokens);
            }
        }
        rank.batch.push_back(job);
    }
    std::stable_partition(rank.batch.begin(), rank.batch.end(), [](const auto &job) { return !job.isLowPriority; });
}

core::Duration FakeEngineGroup::stepDuration(const Rank &rank) const
{
    std::uint32_t prefillTokens = 0;
    std::uint32_t decodingSequences = 0;
    for (const auto &job : rank.batch) {
        prefillTokens += job.remainingPromptTokens;
        decodingSequences += job.remainingPromptTokens == 0 ? 1 : 0;
    }
    const core::Duration duration = m_model.baseStepDuration + m_model.durationPerSequence * decodingSequences
        + m_model.durationPerPrefillToken * std::min(prefillTokens, m_model.prefillTokensPerStep);
    return std::chrono::duration_cast<core::Duration>(duration * rank.slowdown);
}

void FakeEngineGroup::advance(Rank &rank, std::vector<EngineEvent> &events)
{
    std::uint32_t prefillBudget = m_model.prefillTokensPerStep;
    for (auto &job : rank.batch) {
        if (job.remainingPromptTokens > 0) {
            const std::uint32_t prefilledTokens = std::min(prefillBudget, job.remainingPromptTokens);
            prefillBudget -= prefilledTokens;
            job.remainingPromptTokens -= prefilledTokens;
            if (prefilledTokens == 0 || job.remainingPromptTokens > 0) {
                continue;
            }
            if (job.prefix) {
                addToCache(rank, *job.prefix);
            }
        }
        ++job.producedTokens;
        --job.remainingOutputTokens;
        const auto kind = job.producedTokens == 1 ? EngineEventKind::FirstToken : EngineEventKind::Token;
        events.push_back({kind, job.entry, job.attempt});
        if (job.remainingOutputTokens == 0) {
            events.push_back({EngineEventKind::Ended, job.entry, job.attempt});
        }
    }
    std::erase_if(rank.batch, [](const EngineJob &job) { return job.remainingOutputTokens == 0; });
}

bool FakeEngineGroup::isCached(Rank &rank, const decisions::routing::PromptPrefix &prefix) const
{
    const auto found = std::find_if(rank.cache.begin(), rank.cache.end(),
                                    [&](const auto &cached) { return cached.hash == prefix.hash; });
    if (found == rank.cache.end()) {
        return false;
    }
    rank.cache.splice(rank.cache.begin(), rank.cache, found);
    return true;
}

void FakeEngineGroup::addToCache(Rank &rank, const decisions::routing::PromptPrefix &prefix) const
{
    if (isCached(rank, prefix)) {
        return;
    }
    rank.cache.push_front(prefix);
    rank.cachedTokens += prefix.tokens;
    while (rank.cachedTokens > m_model.cacheCapacityTokens) {
        rank.cachedTokens -= rank.cache.back().tokens;
        rank.cache.pop_back();
    }
}

} // namespace lycheelanding::bench::routing

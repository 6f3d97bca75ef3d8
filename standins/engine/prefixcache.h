#pragma once

#include "engine/enginesettings.h"

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace lycheelanding::standins::engine {

using BlockHash = std::uint64_t;

constexpr std::uint32_t tokensPerCacheBlock = 16;

/// Hashes of the full blocks of a prompt; each covers the prompt from its start to the end of the block.
std::vector<BlockHash> blockHashes(const std::vector<std::string> &promptTokens);

enum class CacheEventKind : std::uint8_t {
    Stored,
    Evicted,
};

struct CacheEvent
{
    std::uint64_t number = 0;
    CacheEventKind kind = CacheEventKind::Stored;
    Rank rank = 0;
    BlockHash block = 0;
};

/// Prefix cache of one rank: prompt blocks with LRU eviction.
class PrefixCache
{
public:
    PrefixCache(Rank rank, std::size_t capacity) : m_rank(rank), m_capacity(capacity) { }

    /// Number of leading blocks that are cached.
    std::size_t matchedBlocks(const std::vector<BlockHash> &blocks) const;
    /// Stores the blocks, marks them as recently used, and appends stored and evicted blocks to `events`.
    void store(const std::vector<BlockHash> &blocks, std::vector<CacheEvent> &events);

private:
    const Rank m_rank;
    const std::size_t m_capacity;
    /// Most recently used first.
    std::list<BlockHash> m_lruList;
    std::unordered_map<BlockHash, std::list<BlockHash>::iterator> m_blockPositions;
};

} // namespace lycheelanding::standins::engine

#include "engine/prefixcache.h"

#include "lycheelanding/core/stablehash.h"

namespace lycheelanding::standins::engine {

std::vector<BlockHash> blockHashes(const std::vector<std::string> &promptTokens)
{
    std::vector<BlockHash> hashes;
    BlockHash hash = 0;
    for (std::size_t index = 0; index < promptTokens.size(); ++index) {
        hash = core::mixBits(hash ^ core::stableHash(promptTokens[index]));
        if ((index + 1) % tokensPerCacheBlock == 0) {
            hashes.push_back(hash);
        }
    }
    return hashes;
}

std::size_t PrefixCache::matchedBlocks(const std::vector<BlockHash> &blocks) const
{
    std::size_t matched = 0;
    while (matched < blocks.size() && m_blockPositions.contains(blocks[matched])) {
        ++matched;
    }
    return matched;
}

void PrefixCache::store(const std::vector<BlockHash> &blocks, std::vector<CacheEvent> &events)
{
    for (const BlockHash block : blocks) {
        const auto found = m_blockPositions.find(block);
        if (found != m_blockPositions.end()) {
            m_lruList.splice(m_lruList.begin(), m_lruList, found->second);
            continue;
        }
        m_lruList.push_front(block);
        m_blockPositions[block] = m_lruList.begin();
        events.push_back({0, CacheEventKind::Stored, m_rank, block});
    }
    while (m_lruList.size() > m_capacity) {
        events.push_back({0, CacheEventKind::Evicted, m_rank, m_lruList.back()});
        m_blockPositions.erase(m_lruList.back());
        m_lruList.pop_back();
    }
}

} // namespace lycheelanding::standins::engine

#include "lycheelanding/decisions/delivery/answersequencer.h"

#include <algorithm>
#include <string>

namespace lycheelanding::decisions::delivery {

AnswerSequencer::AnswerSequencer(const AnswerKey &key, std::size_t maxChunkBytes)
    : m_key(key), m_maxChunkBytes(std::max<std::size_t>(maxChunkBytes, 1))
{ }

std::vector<AnswerFrame> AnswerSequencer::head(std::string_view head)
{
    if (m_hasEnded) {
        return {};
    }
    m_checksum.process_bytes(head.data(), head.size());
    return {HeadFrame{m_key, std::string(head)}};
}

std::vector<AnswerFrame> AnswerSequencer::bytes(std::string_view bytes)
{
    std::vector<AnswerFrame> frames;
    while (!m_hasEnded && !bytes.empty()) {
        const std::string_view chunk = bytes.substr(0, m_maxChunkBytes);
        m_checksum.process_bytes(chunk.data(), chunk.size());
        frames.emplace_back(ChunkFrame{m_key, m_chunks, std::string(chunk)});
        ++m_chunks;
        bytes.remove_prefix(chunk.size());
    }
    return frames;
}

std::vector<AnswerFrame> AnswerSequencer::finished()
{
    return end(true);
}

std::vector<AnswerFrame> AnswerSequencer::failed()
{
    return end(false);
}

std::vector<AnswerFrame> AnswerSequencer::end(bool isComplete)
{
    if (m_hasEnded) {
        return {};
    }
    m_hasEnded = true;
    return {EndFrame{m_key, isComplete, m_chunks, m_checksum.checksum()}};
}

} // namespace lycheelanding::decisions::delivery

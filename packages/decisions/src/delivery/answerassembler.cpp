#include "lycheelanding/decisions/delivery/answerassembler.h"

#include <utility>

namespace lycheelanding::decisions::delivery {

AnswerAssembler::AnswerAssembler(const AnswerKey &key, const AssemblerSettings &settings)
    : m_key(key), m_settings(settings)
{ }

DeliveryActions AnswerAssembler::frameReceived(const AnswerFrame &frame)
{
    DeliveryActions actions;
    std::visit(
        [&](const auto &each) {
            if (!m_hasEnded && each.key == m_key) {
                apply(each, actions);
            }
        },
        frame);
    return actions;
}

DeliveryActions AnswerAssembler::connectionLost()
{
    DeliveryActions actions;
    if (!m_hasEnded) {
        breakAnswer(core::ErrorKind::BackendServerLost, actions);
    }
    return actions;
}

void AnswerAssembler::apply(const HeadFrame &frame, DeliveryActions &actions)
{
    if (m_hasHead) {
        return;
    }
    m_hasHead = true;
    m_checksum.process_bytes(frame.head.data(), frame.head.size());
    actions.emplace_back(DeliverHead{frame.head});
    deliverBuffered(actions);
    completeIfAllDelivered(actions);
}

void AnswerAssembler::apply(const ChunkFrame &frame, DeliveryActions &actions)
{
    if (frame.index < m_nextChunk || m_bufferedChunks.contains(frame.index)) {
        return;
    }
    const bool isBeyondEnd = m_end && frame.index >= m_end->chunkCount;
    const bool isTooFar = frame.index - m_nextChunk > m_settings.maxChunksAhead;
    if (isBeyondEnd || isTooFar || m_bufferedBytes + frame.bytes.size() > m_settings.maxBufferedBytes) {
        breakAnswer(core::ErrorKind::AnswerTruncated, actions);
        return;
    }
    m_bufferedChunks.emplace(frame.index, frame.bytes);
    m_bufferedBytes += frame.bytes.size();
    deliverBuffered(actions);
    completeIfAllDelivered(actions);
}

void AnswerAssembler::apply(const EndFrame &frame, DeliveryActions &actions)
{
    if (m_end) {
        return;
    }
    if (!frame.isComplete) {
        breakAnswer(core::ErrorKind::BackendServerFailed, actions);
        return;
    }
    const std::uint32_t minChunkCount = m_bufferedChunks.empty() ? m_nextChunk : m_bufferedChunks.rbegin()->first + 1;
    if (frame.chunkCount < minChunkCount) {
        breakAnswer(core::ErrorKind::AnswerTruncated, actions);
        return;
    }
    m_end = frame;
    completeIfAllDelivered(actions);
}

void AnswerAssembler::deliverBuffered(DeliveryActions &actions)
{
    while (m_hasHead && !m_bufferedChunks.empty() && m_bufferedChunks.begin()->first == m_nextChunk) {
        std::string bytes = std::move(m_bufferedChunks.begin()->second);
        m_bufferedChunks.erase(m_bufferedChunks.begin());
        m_bufferedBytes -= bytes.size();
        ++m_nextChunk;
        m_checksum.process_bytes(bytes.data(), bytes.size());
        actions.emplace_back(DeliverBytes{std::move(bytes)});
    }
}

void AnswerAssembler::completeIfAllDelivered(DeliveryActions &actions)
{
    if (!m_end || !m_hasHead || m_nextChunk != m_end->chunkCount) {
        return;
    }
    if (m_checksum.checksum() != m_end->checksum) {
        breakAnswer(core::ErrorKind::AnswerTruncated, actions);
        return;
    }
    m_hasEnded = true;
    actions.emplace_back(AnswerComplete{});
}

void AnswerAssembler::breakAnswer(core::ErrorKind kind, DeliveryActions &actions)
{
    m_hasEnded = true;
    m_bufferedChunks.clear();
    m_bufferedBytes = 0;
    actions.emplace_back(AnswerBroken{kind});
}

} // namespace lycheelanding::decisions::delivery

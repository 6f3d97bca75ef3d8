#pragma once

#include "lycheelanding/core/errorkind.h"
#include "lycheelanding/decisions/delivery/answerframes.h"

#include <boost/crc.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lycheelanding::decisions::delivery {

struct AssemblerSettings
{
    /// How far ahead of the next chunk an index may be.
    std::uint32_t maxChunksAhead = 64;
    /// Bytes of chunks that wait for an earlier one.
    std::size_t maxBufferedBytes = 1U << 20U;
};

struct DeliverHead
{
    std::string head;
};
/// The next bytes of the answer.
struct DeliverBytes
{
    std::string bytes;
};
/// Everything has been delivered and checked.
struct AnswerComplete
{ };
/// The answer will never be complete: what the caller has of it must end visibly broken.
struct AnswerBroken
{
    core::ErrorKind kind = core::ErrorKind::AnswerTruncated;
};
using DeliveryAction = std::variant<DeliverHead, DeliverBytes, AnswerComplete, AnswerBroken>;
using DeliveryActions = std::vector<DeliveryAction>;

/// The entry's half: puts the frames of one answer in order and tells a whole answer from a broken one. Frames of other
/// keys and repeated ones are dropped; after AnswerComplete or AnswerBroken all are.
class AnswerAssembler
{
public:
    AnswerAssembler(const AnswerKey &key, const AssemblerSettings &settings);

    DeliveryActions frameReceived(const AnswerFrame &frame);
    /// No more frames will come.
    DeliveryActions connectionLost();

    bool hasEnded() const { return m_hasEnded; }

private:
    void apply(const HeadFrame &frame, DeliveryActions &actions);
    void apply(const ChunkFrame &frame, DeliveryActions &actions);
    void apply(const EndFrame &frame, DeliveryActions &actions);
    void deliverBuffered(DeliveryActions &actions);
    void completeIfAllDelivered(DeliveryActions &actions);
    void breakAnswer(core::ErrorKind kind, DeliveryActions &actions);

    AnswerKey m_key;
    AssemblerSettings m_settings;
    bool m_hasHead = false;
    bool m_hasEnded = false;
    std::uint32_t m_nextChunk = 0;
    std::map<std::uint32_t, std::string> m_bufferedChunks;
    std::size_t m_bufferedBytes = 0;
    std::optional<EndFrame> m_end;
    boost::crc_32_type m_checksum;
};

} // namespace lycheelanding::decisions::delivery

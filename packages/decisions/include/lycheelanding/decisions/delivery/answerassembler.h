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
    /// Largest accepted distance between the index of a chunk and the next index to deliver.
    std::uint32_t maxChunksAhead = 64;
    /// Limit of the bytes of chunks that are buffered until an earlier one arrives.
    std::size_t maxBufferedBytes = 1U << 20U;
};

/// The status and headers of the answer, encoded.
struct DeliverHead
{
    std::string head;
};
/// The next bytes of the answer.
struct DeliverBytes
{
    std::string bytes;
};
/// The whole answer has been delivered and its checksum is correct.
struct AnswerComplete
{ };
/// The answer cannot be completed: it must end such that the caller detects it as incomplete.
struct AnswerBroken
{
    core::ErrorKind kind = core::ErrorKind::AnswerTruncated;
};
using DeliveryAction = std::variant<DeliverHead, DeliverBytes, AnswerComplete, AnswerBroken>;
using DeliveryActions = std::vector<DeliveryAction>;

/// Reassembles one answer at the entry: puts its frames in order and distinguishes a complete answer from a broken one.
/// Ignores duplicate frames, frames with another key, and all frames after AnswerComplete or AnswerBroken.
class AnswerAssembler
{
public:
    AnswerAssembler(const AnswerKey &key, const AssemblerSettings &settings);

    DeliveryActions frameReceived(const AnswerFrame &frame);
    /// The connection to the side was lost, so no more frames will arrive.
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

#pragma once

#include "lycheelanding/core/ids.h"

#include <cstdint>
#include <string>
#include <variant>

/// Transfer of answers from side to entry in numbered frames with a checksum, so that the caller gets the complete
/// answer to its own request.
namespace lycheelanding::decisions::delivery {

/// Identifies one attempt of a request among all entries and all their incarnations.
struct AnswerKey
{
    core::Incarnation entryIncarnation;
    core::RequestNumber number;

    bool operator==(const AnswerKey &) const = default;
};

/// Status and headers, encoded. Sent before all chunks.
struct HeadFrame
{
    AnswerKey key;
    std::string head;
};

struct ChunkFrame
{
    AnswerKey key;
    /// Position within the answer, from 0.
    std::uint32_t index = 0;
    std::string bytes;
};

struct EndFrame
{
    AnswerKey key;
    /// False if the backend server did not complete its answer.
    bool isComplete = true;
    std::uint32_t chunkCount = 0;
    /// CRC-32 over the head and the bytes of all chunks.
    std::uint32_t checksum = 0;
};

using AnswerFrame = std::variant<HeadFrame, ChunkFrame, EndFrame>;

} // namespace lycheelanding::decisions::delivery

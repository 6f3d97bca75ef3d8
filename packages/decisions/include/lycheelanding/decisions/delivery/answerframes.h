#pragma once

#include "lycheelanding/core/ids.h"

#include <cstdint>
#include <string>
#include <variant>

/// The whole answer to the own request: numbered frames from side to entry, and their check.
namespace lycheelanding::decisions::delivery {

/// Names one attempt of a request among all entries and all their lives.
struct AnswerKey
{
    core::Incarnation entry;
    core::RequestNumber number;

    bool operator==(const AnswerKey &) const = default;
};

/// Status and headers, encoded; comes before all chunks.
struct HeadFrame
{
    AnswerKey key;
    std::string head;
};

struct ChunkFrame
{
    AnswerKey key;
    /// Counted from 0 within the answer.
    std::uint32_t index = 0;
    std::string bytes;
};

struct EndFrame
{
    AnswerKey key;
    /// False when the backend server's answer broke off.
    bool isComplete = true;
    std::uint32_t chunkCount = 0;
    /// CRC-32 over the head and the bytes of all chunks.
    std::uint32_t checksum = 0;
};

using AnswerFrame = std::variant<HeadFrame, ChunkFrame, EndFrame>;

} // namespace lycheelanding::decisions::delivery

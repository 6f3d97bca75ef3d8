#pragma once

#include "lycheelanding/decisions/delivery/answerframes.h"

#include <boost/crc.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace lycheelanding::decisions::delivery {

/// Splits the answer of a backend server into frames, at the side. Calls after the end frame return no frames.
class AnswerSequencer
{
public:
    AnswerSequencer(const AnswerKey &key, std::size_t maxChunkBytes);

    std::vector<AnswerFrame> head(std::string_view head);
    /// Splits the bytes into chunks of at most maxChunkBytes.
    std::vector<AnswerFrame> bytes(std::string_view bytes);
    std::vector<AnswerFrame> finished();
    /// The backend server did not complete its answer.
    std::vector<AnswerFrame> failed();

private:
    std::vector<AnswerFrame> end(bool isComplete);

    AnswerKey m_key;
    std::size_t m_maxChunkBytes;
    std::uint32_t m_chunks = 0;
    boost::crc_32_type m_checksum;
    bool m_hasEnded = false;
};

} // namespace lycheelanding::decisions::delivery

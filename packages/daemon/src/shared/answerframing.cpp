#include "shared/answerframing.h"

#include "lycheelanding/wire/boundedinputarchive.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>

namespace lycheelanding::daemon::shared {

using namespace decisions::delivery;

std::string encodeHead(const HttpAnswerHead &head)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(head.status, head.headers);
    }
    return std::move(stream).str();
}

core::Result<HttpAnswerHead> decodeHead(const std::string &text)
{
    try {
        wire::BoundedInputArchive archive(text);
        HttpAnswerHead head;
        archive(head.status, head.headers);
        return head;
    } catch (const std::exception &exception) {
        return core::Error{core::ErrorKind::AnswerTruncated, exception.what()};
    }
}

AnswerKey answerKeyOf(const wire::RequestKey &key)
{
    return {key.entryIncarnation, key.number};
}

AnswerFrame frameOf(const wire::AnswerHead &message)
{
    return HeadFrame{answerKeyOf(message.key), message.head};
}

AnswerFrame frameOf(const wire::AnswerChunk &message)
{
    return ChunkFrame{answerKeyOf(message.key), message.index, message.bytes};
}

AnswerFrame frameOf(const wire::AnswerEnd &message)
{
    const bool isComplete = message.outcome == wire::AnswerOutcome::Complete;
    return EndFrame{answerKeyOf(message.key), isComplete, message.chunkCount, message.checksum};
}

wire::AnswerHead messageOf(const HeadFrame &frame)
{
    return {{frame.key.entryIncarnation, frame.key.number}, frame.head};
}

wire::AnswerChunk messageOf(const ChunkFrame &frame)
{
    return {{frame.key.entryIncarnation, frame.key.number}, frame.index, frame.bytes};
}

wire::AnswerEnd messageOf(const EndFrame &frame)
{
    wire::AnswerEnd message;
    message.key = {frame.key.entryIncarnation, frame.key.number};
    message.outcome = frame.isComplete ? wire::AnswerOutcome::Complete : wire::AnswerOutcome::Broken;
    message.chunkCount = frame.chunkCount;
    message.checksum = frame.checksum;
    return message;
}

} // namespace lycheelanding::daemon::shared

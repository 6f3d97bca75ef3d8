#pragma once

#include "lycheelanding/core/result.h"
#include "lycheelanding/decisions/delivery/answerframes.h"
#include "lycheelanding/http/httpmessages.h"
#include "lycheelanding/wire/messages.h"

#include <cstdint>
#include <string>

namespace lycheelanding::daemon::shared {

/// Status and header fields of an HTTP answer.
struct HttpAnswerHead
{
    std::uint16_t status = 0;
    http::HttpHeaders headers;
};

std::string encodeHead(const HttpAnswerHead &head);
/// Fails with AnswerTruncated when `text` is not an encoded head.
core::Result<HttpAnswerHead> decodeHead(const std::string &text);

decisions::delivery::AnswerKey answerKeyOf(const wire::RequestKey &key);

decisions::delivery::AnswerFrame frameOf(const wire::AnswerHead &message);
decisions::delivery::AnswerFrame frameOf(const wire::AnswerChunk &message);
decisions::delivery::AnswerFrame frameOf(const wire::AnswerEnd &message);

wire::AnswerHead messageOf(const decisions::delivery::HeadFrame &frame);
wire::AnswerChunk messageOf(const decisions::delivery::ChunkFrame &frame);
/// Leaves the error kind and detail of a broken answer unset.
wire::AnswerEnd messageOf(const decisions::delivery::EndFrame &frame);

} // namespace lycheelanding::daemon::shared

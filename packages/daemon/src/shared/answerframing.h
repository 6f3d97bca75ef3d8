#pragma once

#include "lycheelanding/core/result.h"
#include "lycheelanding/decisions/delivery/answerframes.h"
#include "lycheelanding/http/httpmessages.h"
#include "lycheelanding/wire/messages.h"

#include <cstdint>
#include <string>

namespace lycheelanding::daemon::shared {

struct HttpAnswerHead
{
    std::uint16_t status = 0;
    http::HttpHeaders headers;
};

std::string encodeHead(const HttpAnswerHead &start);
/// Fails with AnswerTruncated when `head` is no encoded start of an answer.
core::Result<HttpAnswerHead> decodeHead(const std::string &head);

decisions::delivery::AnswerKey answerKeyOf(const wire::RequestKey &key);

decisions::delivery::AnswerFrame frameOf(const wire::AnswerHead &message);
decisions::delivery::AnswerFrame frameOf(const wire::AnswerChunk &message);
decisions::delivery::AnswerFrame frameOf(const wire::AnswerEnd &message);

wire::AnswerHead messageOf(const decisions::delivery::HeadFrame &frame);
wire::AnswerChunk messageOf(const decisions::delivery::ChunkFrame &frame);
/// Without the error of a broken answer.
wire::AnswerEnd messageOf(const decisions::delivery::EndFrame &frame);

} // namespace lycheelanding::daemon::shared

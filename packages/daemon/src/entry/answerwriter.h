#pragma once

#include "lycheelanding/core/result.h"
#include "lycheelanding/decisions/delivery/answerassembler.h"
#include "lycheelanding/http/httpserver.h"
#include "lycheelanding/wire/messages.h"

#include <concepts>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace lycheelanding::daemon::entry {

/// The interface of http::HttpExchange through which an answer is sent to the caller; tests substitute a fake.
template <typename Exchange>
concept AnswerExchange = requires(Exchange exchange, const Exchange &constant, http::HttpResponse response,
                                  const http::HttpHeaders &headers, std::string bytes)
{
    exchange.respond(response);
    exchange.startStream(0, headers);
    exchange.sendChunk(bytes);
    exchange.finish();
    exchange.abort();
    {
        constant.unsentBytes()
        } -> std::convertible_to<std::size_t>;
};

/// Writes an answer to the caller from the frames of a side, which decisions::delivery::AnswerAssembler checks and puts
/// in order.
///
/// An event stream is forwarded as it arrives. Any other answer is buffered until it is complete, up to a maximum size,
/// so that a broken answer can still be replaced by a retry or by an error.
template <AnswerExchange Exchange>
class BasicAnswerWriter
{
public:
    BasicAnswerWriter(std::shared_ptr<Exchange> exchange, std::size_t maxUnsentBytes);

    /// Expects the answer to the attempt `key` from now on and discards what an earlier attempt has sent. Must be
    /// called before the first frame, and only while hasBegun() is false.
    void restart(const wire::RequestKey &key);
    /// The write functions fail with AnswerTruncated when the frames do not form a complete answer, and with Cancelled
    /// when the caller reads too slowly.
    core::Status writeHead(const wire::AnswerHead &head);
    core::Status writeChunk(const wire::AnswerChunk &chunk);
    /// Also fails with the side's error when the side reports the answer as broken.
    core::Status writeEnd(const wire::AnswerEnd &end);
    /// Responds with the error, or aborts an answer that has begun.
    void fail(const core::Error &error);

    /// Whether any part of an answer may have reached the caller.
    bool hasBegun() const { return m_hasBegun; }
    int status() const { return m_status; }

private:
    core::Status execute(const decisions::delivery::DeliveryActions &actions);
    core::Status execute(const decisions::delivery::DeliverHead &head);
    core::Status execute(const decisions::delivery::DeliverBytes &bytes);
    core::Status execute(const decisions::delivery::AnswerComplete &complete);
    core::Status execute(const decisions::delivery::AnswerBroken &broken);
    core::Status beginStream();

    std::shared_ptr<Exchange> m_exchange;
    std::size_t m_maxUnsentBytes;
    std::optional<decisions::delivery::AnswerAssembler> m_assembler;
    bool m_hasBegun = false;
    int m_status = 0;
    http::HttpHeaders m_headers;
    std::string m_bufferedBody;
};

extern template class BasicAnswerWriter<http::HttpExchange>;
using AnswerWriter = BasicAnswerWriter<http::HttpExchange>;

} // namespace lycheelanding::daemon::entry

#pragma once

#include "entry/answerwriter.h"
#include "lycheelanding/http/eventstreamscanner.h"
#include "shared/answerframing.h"
#include "shared/forwardedheaders.h"
#include "shared/problemdetails.h"

#include <utility>
#include <variant>

/// Definitions of the members of BasicAnswerWriter, for the sources that instantiate it.
namespace lycheelanding::daemon::entry {

/// Answers up to this size are buffered until they are complete.
constexpr std::size_t maxBufferedBytes = std::size_t{256} * 1024;

template <AnswerExchange Exchange>
BasicAnswerWriter<Exchange>::BasicAnswerWriter(std::shared_ptr<Exchange> exchange, std::size_t maxUnsentBytes)
    : m_exchange(std::move(exchange)), m_maxUnsentBytes(maxUnsentBytes)
{ }

template <AnswerExchange Exchange>
void BasicAnswerWriter<Exchange>::restart(const wire::RequestKey &key)
{
    // A connection preserves the order of frames, so a missing chunk never arrives later.
    decisions::delivery::AssemblerSettings settings;
    settings.maxChunksAhead = 0;
    m_assembler.emplace(shared::answerKeyOf(key), settings);
    m_status = 0;
    m_headers = http::HttpHeaders();
    m_bufferedBody.clear();
}

template <AnswerExchange Exchange>
core::Status BasicAnswerWriter<Exchange>::writeHead(const wire::AnswerHead &head)
{
    return execute(m_assembler->frameReceived(shared::frameOf(head)));
}

template <AnswerExchange Exchange>
core::Status BasicAnswerWriter<Exchange>::writeChunk(const wire::AnswerChunk &chunk)
{
    return execute(m_assembler->frameReceived(shared::frameOf(chunk)));
}

template <AnswerExchange Exchange>
core::Status BasicAnswerWriter<Exchange>::writeEnd(const wire::AnswerEnd &end)
{
    auto status = execute(m_assembler->frameReceived(shared::frameOf(end)));
    if (end.outcome == wire::AnswerOutcome::Broken) {
        return core::Error{end.kind, end.detail};
    }
    if (core::isOk(status) && !m_assembler->hasEnded()) {
        // The assembler waits for missing frames, but on a connection no frame follows the end frame.
        return core::Error{core::ErrorKind::AnswerTruncated, "the answer's head or last chunks are missing"};
    }
    return status;
}

template <AnswerExchange Exchange>
core::Status BasicAnswerWriter<Exchange>::execute(const decisions::delivery::DeliveryActions &actions)
{
    for (const auto &action : actions) {
        auto status = std::visit([this](const auto &each) { return this->execute(each); }, action);
        if (!core::isOk(status)) {
            return status;
        }
    }
    return core::Done();
}

template <AnswerExchange Exchange>
core::Status BasicAnswerWriter<Exchange>::execute(const decisions::delivery::DeliverHead &head)
{
    const auto start = shared::decodeHead(head.head);
    if (!core::isOk(start)) {
        return core::errorOf(start);
    }
    m_status = core::valueOf(start).status;
    m_headers = shared::forwardedHeaders(core::valueOf(start).headers);
    return http::isEventStream(m_headers) ? beginStream() : core::Status(core::Done());
}

template <AnswerExchange Exchange>
core::Status BasicAnswerWriter<Exchange>::beginStream()
{
    m_hasBegun = true;
    m_exchange->startStream(m_status, m_headers);
    if (!m_bufferedBody.empty()) {
        m_exchange->sendChunk(std::move(m_bufferedBody));
        m_bufferedBody.clear();
    }
    return core::Done();
}

template <AnswerExchange Exchange>
core::Status BasicAnswerWriter<Exchange>::execute(const decisions::delivery::DeliverBytes &bytes)
{
    if (m_hasBegun) {
        m_exchange->sendChunk(bytes.bytes);
        if (m_exchange->unsentBytes() > m_maxUnsentBytes) {
            return core::Error{core::ErrorKind::Cancelled, "the caller does not read its answer"};
        }
        return core::Done();
    }
    m_bufferedBody += bytes.bytes;
    return m_bufferedBody.size() > maxBufferedBytes ? beginStream() : core::Status(core::Done());
}

template <AnswerExchange Exchange>
core::Status BasicAnswerWriter<Exchange>::execute(const decisions::delivery::AnswerComplete & /*complete*/)
{
    if (m_hasBegun) {
        m_exchange->finish();
        return core::Done();
    }
    m_hasBegun = true;
    m_exchange->respond(http::HttpResponse{m_status, m_headers, std::move(m_bufferedBody)});
    return core::Done();
}

template <AnswerExchange Exchange>
core::Status BasicAnswerWriter<Exchange>::execute(const decisions::delivery::AnswerBroken &broken)
{
    return core::Error{broken.kind, "the answer's frames do not form a whole answer"};
}

template <AnswerExchange Exchange>
void BasicAnswerWriter<Exchange>::fail(const core::Error &error)
{
    if (m_hasBegun) {
        m_exchange->abort();
        return;
    }
    m_hasBegun = true;
    m_exchange->respond(shared::problemResponse(error));
}

} // namespace lycheelanding::daemon::entry

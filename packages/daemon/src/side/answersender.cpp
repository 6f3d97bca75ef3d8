#include "side/answersender.h"

#include "shared/answerframing.h"

#include <cstdint>
#include <variant>

namespace lycheelanding::daemon::side {

namespace {

/// Larger chunks are split into several frames, so that the answers on a connection share it fairly.
constexpr std::size_t maxChunkBytes = std::size_t{64} * 1024;

} // namespace

AnswerSender::AnswerSender(wire::PeerConnectionPointer link, wire::RequestKey key,
                           const shared::ConfigurationTable &table)
    : m_link(std::move(link)), m_key(key), m_table(table), m_sequencer(shared::answerKeyOf(key), maxChunkBytes)
{ }

void AnswerSender::refuse(const core::Error &error)
{
    wire::RequestRefused refused{m_key, error.kind, error.detail, 0};
    if (error.retryAfter) {
        refused.retryAfterMs = static_cast<std::uint32_t>(error.retryAfter->count());
    }
    send(refused);
}

void AnswerSender::sendHead(int status, const http::HttpHeaders &headers)
{
    sendFrames(m_sequencer.head(shared::encodeHead({static_cast<std::uint16_t>(status), headers})));
}

void AnswerSender::sendChunk(std::string_view bytes)
{
    sendFrames(m_sequencer.bytes(bytes));
}

void AnswerSender::finish()
{
    sendFrames(m_sequencer.finished());
}

void AnswerSender::fail(const core::Error &error)
{
    for (const auto &frame : m_sequencer.failed()) {
        auto end = shared::messageOf(std::get<decisions::delivery::EndFrame>(frame));
        end.kind = error.kind;
        end.detail = error.detail;
        send(end);
    }
}

void AnswerSender::sendFrames(const std::vector<decisions::delivery::AnswerFrame> &frames)
{
    for (const auto &frame : frames) {
        std::visit([this](const auto &each) { send(shared::messageOf(each)); }, frame);
    }
}

} // namespace lycheelanding::daemon::side

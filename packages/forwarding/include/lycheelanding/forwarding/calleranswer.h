#pragma once

#include "lycheelanding/forwarding/eventstreamparser.h"
#include "lycheelanding/http/clientconnection.h"
#include "lycheelanding/http/httpserver.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheelanding::forwarding {

/// The part of an answer that the caller receives. A short answer is held back until it is complete, so that the
/// request can still be sent to another backend server. A stream is forwarded event by event; another backend server
/// may resume it.
class CallerAnswer
{
public:
    explicit CallerAnswer(http::HttpExchangePointer exchange) : m_exchange(std::move(exchange)) { }

    /// Marks the answer as a stream that is forwarded immediately; `isResumable` if another backend server may resume
    /// it.
    void setStream(bool isResumable);
    /// Starts another attempt: discards what has not been sent to the caller.
    void restart();
    /// Whether an answer with this head can continue what the caller has received: an event stream with the same
    /// status. The text of anything else would become a part of the stream, or its end the end of the stream.
    bool canContinueWith(const http::AnswerHead &head) const;
    /// Appends a part of the body and forwards what may be sent already. Returns whether the answer has progressed: in
    /// a stream, whether an event has ended that the caller did not have.
    bool append(const http::AnswerHead &head, std::string_view bytes);
    /// Whether a stream sends nothing but events that the caller has, and comments, beyond a limit in bytes.
    bool isRepeatingItself() const;
    /// Buffers a part of an answer that is not forwarded yet. Returns false, and buffers nothing, beyond a size limit.
    bool hold(std::string_view bytes);
    /// Completes the answer.
    void finish(const http::AnswerHead &head);
    /// The held body as a complete response.
    http::HttpResponse heldResponse(const http::AnswerHead &head) const { return {head.status, head.headers, m_held}; }

    /// Whether a part of the answer was sent to the caller.
    bool hasBegun() const { return m_hasBegun; }
    /// Id of the event after which the stream can be resumed; nullopt if it cannot be.
    std::optional<std::uint64_t> lastEvent() const { return m_events ? m_events->lastId() : std::nullopt; }
    /// Complete events of the current attempt; nullopt where events are not told apart.
    std::optional<std::size_t> eventCount() const
    {
        return m_events ? std::optional(m_events->eventCount()) : std::nullopt;
    }
    /// Whether too many bytes wait for the caller to read them.
    bool isCallerTooSlow() const;

private:
    bool isResumableStream(const http::AnswerHead &head) const;
    void sendToCaller(const http::AnswerHead &head, std::string_view bytes);

    const http::HttpExchangePointer m_exchange;
    bool m_isStream = false;
    bool m_hasBegun = false;
    /// Status that the caller has received.
    int m_status = 0;
    std::optional<EventStreamParser> m_events;
    std::string m_held;
};

} // namespace lycheelanding::forwarding

#pragma once

#include "lycheelanding/forwarding/eventstreamparser.h"
#include "lycheelanding/http/clientconnection.h"
#include "lycheelanding/http/httpserver.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheelanding::forwarding {

/// What a caller gets of its answer. A short answer is held back until it is whole, so that another backend server can
/// still be asked; a stream is passed on event by event, and may be gone on with by another backend server.
class CallerAnswer
{
public:
    explicit CallerAnswer(http::HttpExchangePointer exchange) : m_exchange(std::move(exchange)) { }

    /// The answer is a series of events that come at once; `isResumable` when others may go on with it.
    void setStream(bool isResumable);
    /// Another attempt begins: what has not reached the caller is forgotten.
    void restart();
    /// Whether this answer can follow what the caller has.
    bool canContinueWith(const http::AnswerHead &head) const { return !m_hasBegun || isResumableStream(head); }
    /// Takes a part of the body.
    void append(const http::AnswerHead &head, std::string_view bytes);
    /// Takes a part of an answer that is not passed on as it comes.
    void hold(std::string_view bytes);
    /// The answer is whole.
    void finish(const http::AnswerHead &head);
    /// The held answer as a response of its own.
    http::HttpResponse heldResponse(const http::AnswerHead &head) const { return {head.status, head.headers, m_held}; }

    /// Whether a part of the answer may have reached the caller.
    bool hasBegun() const { return m_hasBegun; }
    /// The event after which the answer can be gone on with; nothing where it cannot.
    std::optional<std::uint64_t> lastEvent() const { return m_events ? m_events->lastId() : std::nullopt; }
    /// Whether the caller reads too slowly.
    bool isCallerTooSlow() const;

private:
    bool isResumableStream(const http::AnswerHead &head) const;
    void sendToCaller(const http::AnswerHead &head, std::string_view bytes);

    const http::HttpExchangePointer m_exchange;
    bool m_isStream = false;
    bool m_hasBegun = false;
    std::optional<EventStreamParser> m_events;
    std::string m_held;
};

} // namespace lycheelanding::forwarding

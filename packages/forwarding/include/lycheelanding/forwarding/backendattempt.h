#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/attempts/requestattempts.h"
#include "lycheelanding/forwarding/answerclass.h"
#include "lycheelanding/forwarding/forwardedfields.h"
#include "lycheelanding/forwarding/forwardingresources.h"
#include "lycheelanding/http/clientconnection.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>

namespace lycheelanding::forwarding {

/// One attempt of a request at one backend server: its connection, and what has arrived of its answer.
class BackendAttempt
{
public:
    BackendAttempt(const ForwardingResources &resources, decisions::attempts::AttemptNumber number,
                   const ReservedBackend &reserved, core::TimePoint startedAt);

    decisions::attempts::AttemptNumber number() const { return m_number; }
    const BackendId &backend() const { return m_reserved.backend.id; }
    core::TimePoint startedAt() const { return m_startedAt; }
    AnswerClass answerClass() const { return m_answerClass; }
    const http::AnswerHead &head() const { return m_head; }
    /// Parts of the body that have arrived.
    std::size_t bodyParts() const { return m_bodyParts; }
    /// Whether the backend server has neither left nor asked for a pause since it was chosen.
    bool isBackendUsable(core::TimePoint now) const
    {
        return m_resources.backends.isStillUsable(m_reserved.backend, now);
    }
    bool hasOpenConnection() const { return m_connection && m_connection->isOpen(); }

    /// Takes an idle connection to the backend server; false if there is none.
    bool takeIdleConnection();
    void connect(std::chrono::milliseconds timeout, std::function<void(const core::Status &)> onConnected);
    /// `fields`: those of the request; the attempt adds the backend server's name. `handlers`: the attempt adds which
    /// answers belong to the request.
    void send(const http::HttpExchangePointer &exchange, ForwardedFields fields, http::AnswerHandlers handlers);

    void recordHead(http::AnswerHead head);
    /// The failure of the backend server is passed on, and no further attempt is made.
    void acceptFailure() { m_answerClass = AnswerClass::Valid; }
    /// The answer cannot follow the parts of earlier attempts.
    void rejectAnswer() { m_answerClass = AnswerClass::Invalid; }
    /// `interval`: since the part before, if it is an event of the same stream.
    void recordBodyPart(std::uint64_t promptTokens, std::optional<core::Duration> interval, core::TimePoint now);
    /// `parts`: whole ones of the answer.
    void recordProgress(std::size_t parts, const decisions::quarantine::SharedFeatures &features);
    /// The connection was lost: the backend server may have crashed.
    void reportCrashSuspicion(decisions::quarantine::SharedFeatures features);
    /// The answer is complete and its connection can carry another request.
    void releaseConnection();
    /// Closes the connection, which makes the backend server cancel the request.
    void end(Outcome outcome, core::TimePoint now);

private:
    void recordResponseTime();

    ForwardingResources m_resources;
    const decisions::attempts::AttemptNumber m_number;
    const ReservedBackend m_reserved;
    const core::TimePoint m_startedAt;
    core::SystemClock m_clock;
    core::TimePoint m_sentAt;
    http::ClientConnectionPointer m_connection;
    /// The connection carried other requests before.
    bool m_isConnectionReused = false;
    AnswerClass m_answerClass = AnswerClass::Valid;
    http::AnswerHead m_head;
    std::size_t m_bodyParts = 0;
    /// Whether the backend server has shown that it does not crash when it begins the answer.
    bool m_hasProgressed = false;
};

} // namespace lycheelanding::forwarding

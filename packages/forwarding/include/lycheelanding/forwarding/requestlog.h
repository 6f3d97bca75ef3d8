#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/forwarding/eventlog.h"
#include "lycheelanding/http/httpmessages.h"
#include "lycheelanding/report/answertimes.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheelanding::forwarding {

/// How a request ended.
struct RequestOutcome
{
    std::string_view outcome;
    int status = 0;
    core::ServiceId service;
    /// The last backend server that the request was sent to; empty if it was sent to none.
    std::string backend;
    std::size_t attempts = 0;
    /// How the end of the last backend server's answer was marked; nullopt if none was received.
    std::optional<http::BodyFraming> framing;
};

/// What bounds the time of a request.
enum class TimeLimitSource : std::uint8_t {
    /// The timeout of the route.
    Route,
    /// The time that the caller says it has left.
    Caller,
};

std::string_view nameOf(TimeLimitSource source);

/// Circumstances in which an answer that had begun was broken off.
struct BrokenAnswer
{
    core::Error error;
    std::size_t attempts = 0;
    core::Duration timeLimit{};
    TimeLimitSource timeLimitSource = TimeLimitSource::Route;
    /// The configuration whose route the request follows.
    core::ConfigurationVersion version;
};

/// Why a failed attempt was the last one of its request.
enum class RetryDenial : std::uint8_t {
    /// The route allows no more attempts.
    AttemptsUsed,
    /// Requests with the same feature crash backend servers.
    RequestHeld,
    /// The answer has begun and cannot be resumed.
    NotResumable,
    /// The retry policy refuses: the budget is spent, or the time or the kind of error does not allow it.
    Policy,
    /// The entry stops.
    Stopping,
};

std::string_view nameOf(RetryDenial denial);

/// An attempt that failed.
struct FailedAttemptLine
{
    core::Error error;
    std::string backend;
    /// Attempts so far.
    std::size_t attempts = 0;
    /// Ids of the parts of the prompt that other requests may share, separated by spaces.
    std::string promptParts;
    /// Equal for repeats of the request.
    std::string digest;
};

/// Writes the lines of one request to the event log.
class RequestLog
{
public:
    RequestLog(EventLog &log, core::TimePoint arrival) : m_log(log), m_arrival(arrival) { }

    void setName(std::string name) { m_name = std::move(name); }
    /// The request is sent to a backend server; the first one ends its wait at the entry.
    void recordSent(core::TimePoint now) { m_firstSent = m_firstSent.value_or(now); }

    void writeRetry(const FailedAttemptLine &failed);
    void writeRetryDenied(RetryDenial denial, const FailedAttemptLine &failed);
    void writeBroken(const BrokenAnswer &broken, const report::AnswerTimes &times, core::TimePoint now);
    void writeRefused(const core::Error &error, std::size_t attempts, core::ConfigurationVersion version);
    void writeFinished(const RequestOutcome &outcome, const report::AnswerTimes &times, core::TimePoint now);

private:
    EventLog &m_log;
    const core::TimePoint m_arrival;
    std::optional<core::TimePoint> m_firstSent;
    /// Id of the attempt as the caller gave it.
    std::string m_name;
};

} // namespace lycheelanding::forwarding

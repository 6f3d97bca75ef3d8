#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/forwarding/eventlog.h"
#include "lycheelanding/report/answertimes.h"

#include <cstddef>
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
};

/// Writes the lines of one request to the event log.
class RequestLog
{
public:
    RequestLog(EventLog &log, core::TimePoint arrival) : m_log(log), m_arrival(arrival) { }

    void setName(std::string name) { m_name = std::move(name); }

    void writeRetry(const core::Error &error, std::size_t attempts);
    void writeBroken(const core::Error &error);
    void writeRefused(const core::Error &error, std::size_t attempts, core::ConfigurationVersion version);
    void writeFinished(const RequestOutcome &outcome, const report::AnswerTimes &times, core::TimePoint now);

private:
    EventLog &m_log;
    const core::TimePoint m_arrival;
    /// Id of the attempt as the caller gave it.
    std::string m_name;
};

} // namespace lycheelanding::forwarding

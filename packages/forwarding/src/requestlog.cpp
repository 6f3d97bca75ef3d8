#include "lycheelanding/forwarding/requestlog.h"

#include <chrono>
#include <cstdint>

namespace lycheelanding::forwarding {

namespace {

std::int64_t millisecondsOf(core::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

void RequestLog::writeRetry(const core::Error &error, std::size_t attempts)
{
    m_log.write(LogImportance::Request, "retry",
                {{"request", m_name},
                 {"reason", core::nameOf(error.kind)},
                 {"detail", error.detail},
                 {"attempts", static_cast<std::int64_t>(attempts)}});
}

void RequestLog::writeBroken(const core::Error &error)
{
    m_log.write(LogImportance::Request, "answerBroken",
                {{"request", m_name}, {"reason", core::nameOf(error.kind)}, {"detail", error.detail}});
}

void RequestLog::writeRefused(const core::Error &error, std::size_t attempts, core::ConfigurationVersion version)
{
    m_log.write(LogImportance::Request, "refused",
                {{"request", m_name},
                 {"reason", core::nameOf(error.kind)},
                 {"detail", error.detail},
                 {"attempts", static_cast<std::int64_t>(attempts)},
                 {"configuration", static_cast<std::int64_t>(version.number())}});
}

void RequestLog::writeFinished(const RequestOutcome &outcome, const report::AnswerTimes &times, core::TimePoint now)
{
    m_log.write(LogImportance::Request, "requestOver",
                {{"request", m_name},
                 {"outcome", outcome.outcome},
                 {"status", outcome.status},
                 {"service", outcome.service.text()},
                 {"backend", outcome.backend},
                 {"attempts", static_cast<std::int64_t>(outcome.attempts)},
                 {"ms", millisecondsOf(now - m_arrival)},
                 {"firstMs", times.first() ? millisecondsOf(*times.first() - m_arrival) : -1},
                 {"longestPauseMs", millisecondsOf(times.maxInterval())}});
}

} // namespace lycheelanding::forwarding

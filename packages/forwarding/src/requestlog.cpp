#include "lycheelanding/forwarding/requestlog.h"

#include "lycheelanding/core/nametable.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace lycheelanding::forwarding {

namespace {

constexpr std::array<core::NameEntry<TimeLimitSource>, 2> timeLimitSourceNames{{
    {TimeLimitSource::Route, "route"},
    {TimeLimitSource::Caller, "caller"},
}};

constexpr std::array<core::NameEntry<RetryDenial>, 5> retryDenialNames{{
    {RetryDenial::AttemptsUsed, "attemptsUsed"},
    {RetryDenial::RequestHeld, "requestHeld"},
    {RetryDenial::NotResumable, "notResumable"},
    {RetryDenial::Policy, "policy"},
    {RetryDenial::Stopping, "stopping"},
}};

std::int64_t millisecondsOf(core::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

std::string_view nameOf(TimeLimitSource source)
{
    return core::nameIn(timeLimitSourceNames, source);
}

std::string_view nameOf(RetryDenial denial)
{
    return core::nameIn(retryDenialNames, denial);
}

void RequestLog::writeRetry(const FailedAttemptLine &failed)
{
    m_log.write(LogImportance::Request, "retry",
                {{"request", m_name},
                 {"reason", core::nameOf(failed.error.kind)},
                 {"detail", failed.error.detail},
                 {"backend", failed.backend},
                 {"promptParts", failed.promptParts},
                 {"digest", failed.digest},
                 {"attempts", static_cast<std::int64_t>(failed.attempts)}});
}

void RequestLog::writeRetryDenied(RetryDenial denial, const FailedAttemptLine &failed)
{
    m_log.write(LogImportance::Request, "retryDenied",
                {{"request", m_name},
                 {"why", nameOf(denial)},
                 {"reason", core::nameOf(failed.error.kind)},
                 {"detail", failed.error.detail},
                 {"backend", failed.backend},
                 {"promptParts", failed.promptParts},
                 {"digest", failed.digest},
                 {"attempts", static_cast<std::int64_t>(failed.attempts)}});
}

void RequestLog::writeBroken(const BrokenAnswer &broken, const report::AnswerTimes &times, core::TimePoint now)
{
    m_log.write(LogImportance::Request, "answerBroken",
                {{"request", m_name},
                 {"reason", core::nameOf(broken.error.kind)},
                 {"detail", broken.error.detail},
                 {"attempts", static_cast<std::int64_t>(broken.attempts)},
                 {"sinceEventMs", times.last() ? millisecondsOf(now - *times.last()) : -1},
                 {"timeLimitMs", millisecondsOf(broken.timeLimit)},
                 {"timeLimitOf", nameOf(broken.timeLimitSource)},
                 {"configuration", static_cast<std::int64_t>(broken.version.number())}});
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
                 {"framing", outcome.framing ? http::nameOf(*outcome.framing) : std::string_view()},
                 {"ms", millisecondsOf(now - m_arrival)},
                 {"waitedMs", millisecondsOf(m_firstSent.value_or(now) - m_arrival)},
                 {"firstMs", times.first() ? millisecondsOf(*times.first() - m_arrival) : -1},
                 {"longestPauseMs", millisecondsOf(times.maxInterval())}});
}

} // namespace lycheelanding::forwarding

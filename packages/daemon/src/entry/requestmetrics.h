#pragma once

#include "entry/classifiedrequest.h"

#include "lycheelanding/configuration/configurationdocument.h"
#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/errorkind.h"
#include "lycheelanding/report/burntracker.h"
#include "lycheelanding/report/metrics.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheelanding::daemon::entry {

enum class RequestEndKind : std::uint8_t {
    Answered,
    /// The caller got an error before any part of an answer.
    Refused,
    /// The answer was aborted after it had begun.
    Aborted,
    CallerGone,
};

/// How a caller's request ended, for the counters and the burn rate of the service-level objective.
struct RequestEnd
{
    RequestEndKind kind = RequestEndKind::Answered;
    std::optional<core::ErrorKind> error = std::nullopt;
    int status = 0;
    /// First-token latency.
    std::optional<core::Duration> firstToken = std::nullopt;
    core::Duration duration = core::Duration::zero();
    /// Number of gaps between tokens, and how many of them exceeded the objective.
    std::uint32_t gaps = 0;
    std::uint32_t slowGaps = 0;
};

/// Records the metrics and the service-level burn of requests. Members may be called from any thread.
class RequestMetrics
{
public:
    explicit RequestMetrics(report::Metrics &metrics);

    void setObjectives(const std::vector<configuration::Objective> &objectives);
    void recordReceived();
    void recordRetry();
    void recordTokenGap(core::Duration gap);
    /// Records a request that was refused before a ForwardedRequest was created for it.
    void recordEarlyRefusal(core::ErrorKind kind);
    void recordEnd(const ClassifiedRequest &request, const RequestEnd &end);

    /// The longest gap between tokens that the request's objective allows; nothing if there is no objective.
    std::optional<core::Duration> maxTokenGap(const ClassifiedRequest &request) const;
    /// All metrics in the Prometheus text format.
    std::string metricsText() const;
    /// This entry's counts of the service-level burn as JSON; counts of several entries can be merged.
    std::string burnJson() const;

private:
    void countEnd(const RequestEnd &end);
    void countError(core::ErrorKind kind);

    report::Metrics &m_metrics;
    report::BurnTracker m_burn;
    core::SystemClock m_clock;
};

} // namespace lycheelanding::daemon::entry

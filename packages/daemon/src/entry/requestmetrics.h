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
    /// An error was answered before any part of an answer.
    Refused,
    /// The answer broke off after it had begun.
    Aborted,
    CallerGone,
};

/// How a caller's request ended, for counters and service-level burn.
struct RequestEnd
{
    RequestEndKind kind = RequestEndKind::Answered;
    std::optional<core::ErrorKind> error = std::nullopt;
    int status = 0;
    std::optional<core::Duration> firstToken = std::nullopt;
    core::Duration duration = core::Duration::zero();
    /// Gaps between tokens, and how many of them were longer than the objective allows.
    std::uint32_t gaps = 0;
    std::uint32_t slowGaps = 0;
};

/// Counts what happens to requests. Members may be called from any thread.
class RequestMetrics
{
public:
    explicit RequestMetrics(report::Metrics &metrics);

    void setObjectives(const std::vector<configuration::Objective> &objectives);
    void recordReceived();
    void recordRetry();
    void recordTokenGap(core::Duration gap);
    /// A request that was refused before it was classified.
    void recordEarlyRefusal(core::ErrorKind kind);
    void recordEnd(const ClassifiedRequest &request, const RequestEnd &end);

    /// The longest gap between tokens that the request's objective allows, if it has one.
    std::optional<core::Duration> maxTokenGap(const ClassifiedRequest &request) const;
    /// All counters as Prometheus text.
    std::string metricsText() const;
    /// This entry's mergeable counts for the service-level burn.
    std::string burnJson() const;

private:
    void countEnd(const RequestEnd &end);
    void countError(core::ErrorKind kind);

    report::Metrics &m_metrics;
    report::BurnTracker m_burn;
    core::SystemClock m_clock;
};

} // namespace lycheelanding::daemon::entry

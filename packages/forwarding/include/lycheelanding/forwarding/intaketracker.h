#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/forwarding/answerclass.h"
#include "lycheelanding/forwarding/backendset.h"
#include "lycheelanding/forwarding/coldtracker.h"
#include "lycheelanding/forwarding/eventlog.h"
#include "lycheelanding/report/metrics.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace lycheelanding::forwarding {

/// What one entry has learnt of a backend server's limit from an answer.
struct LimitReport
{
    BackendId backend;
    /// Tells its incarnations apart.
    std::uint64_t startedAtMs = 0;
    /// Requests per second; nullopt if the answer states no limit.
    std::optional<double> perSecond;
    /// When the answer that states it arrived, or when the request was sent whose answer states none.
    core::TimePoint time;
};

/// An attempt whose answer has begun.
struct AnsweredAttempt
{
    BackendId backend;
    /// Tells its incarnations apart.
    std::uint64_t startedAtMs = 0;
    /// When the backend server was chosen.
    core::TimePoint chosenAt;
    /// When the request was sent, which takes longer if a connection had to be opened.
    core::TimePoint sentAt;
    AnswerClass answerClass = AnswerClass::Valid;
};

/// Reads from the answers of backend servers, and from the reports of other entries, which requests they take: limits
/// of requests per second, times without any, and remaining cold times. Logs their changes. Used on one thread.
class IntakeTracker
{
public:
    IntakeTracker(BackendSet &backends, EventLog &log, report::Metrics &metrics)
        : m_backends(backends), m_log(log), m_metrics(metrics), m_cold(backends, log, metrics)
    { }

    /// The handler passes changes that this entry has learnt from answers on to the other entries.
    void setReportHandler(std::function<void(const LimitReport &)> handler) { m_onReport = std::move(handler); }

    void answered(const AnsweredAttempt &attempt, const http::AnswerHead &head, const FieldNames &names);
    /// Applies a report of another entry.
    void apply(const LimitReport &report);
    ColdTracker &cold() { return m_cold; }

private:
    void readColdTime(const RegisteredBackend &backend, const AnsweredAttempt &attempt, const http::AnswerHead &head,
                      const FieldNames &names);
    void readLimit(const RegisteredBackend &backend, const http::AnswerHead &head, const FieldNames &names,
                   core::TimePoint sentAt);
    void readRetryDelay(const AnsweredAttempt &attempt, const http::AnswerHead &head);
    /// A request was turned away that was sent although the backend server had asked for none.
    void reportIgnoredPause(const AnsweredAttempt &attempt, core::TimePoint now);
    void reportUnreadable(const BackendId &id, std::string_view field);
    /// Returns whether it changes what this entry knows.
    bool applyChange(const LimitReport &report);

    core::SystemClock m_clock;
    BackendSet &m_backends;
    EventLog &m_log;
    report::Metrics &m_metrics;
    ColdTracker m_cold;
    std::function<void(const LimitReport &)> m_onReport;
};

} // namespace lycheelanding::forwarding

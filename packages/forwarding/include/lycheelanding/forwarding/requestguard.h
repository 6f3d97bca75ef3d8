#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/decisions/quarantine/requestquarantine.h"
#include "lycheelanding/forwarding/crashdetector.h"
#include "lycheelanding/forwarding/eventlog.h"
#include "lycheelanding/report/metrics.h"

#include <functional>
#include <optional>
#include <vector>

namespace lycheelanding::forwarding {

/// Called with what this entry has found out, to pass it on to the other entries.
struct QuarantineReportHandlers
{
    std::function<void(const decisions::quarantine::CrashReport &)> onCrash;
    std::function<void(const decisions::quarantine::ProgressReport &)> onProgress;
    std::function<void(const decisions::quarantine::ProbeReport &)> onProbe;
};

/// Holds requests that crash backend servers: feeds the quarantine with lost attempts and progress of this
/// entry and with the reports of others. Used on one thread.
class RequestGuard
{
public:
    /// `onHeld` is called when more requests are held than before.
    RequestGuard(asio::io_context &context, std::uint64_t seed, EventLog &log, report::Metrics &metrics,
                 std::function<void()> onHeld);

    void setReportHandlers(QuarantineReportHandlers handlers) { m_handlers = std::move(handlers); }

    /// How long a request is held; nullopt if it may be sent now.
    std::optional<core::Duration> holdTime(const decisions::quarantine::SharedFeatures &features) const;
    /// The error of a request that is held, with its hold time; nullopt if it may be sent now.
    std::optional<core::Error> holdError(const decisions::quarantine::SharedFeatures &features) const;
    void requestSent(const decisions::quarantine::SharedFeatures &features);
    /// The answer has begun: no part of the prompt crashes backend servers that begin it.
    void answerProgressed(const decisions::quarantine::SharedFeatures &features);
    /// The answer is complete: repeats of the request do not crash backend servers.
    void answerCompleted(const decisions::quarantine::SharedFeatures &features);
    void attemptLost(const LostAttempt &attempt);

    /// Applies a report of another entry.
    void apply(const decisions::quarantine::CrashReport &report);
    void apply(const decisions::quarantine::ProgressReport &report);
    void apply(const decisions::quarantine::ProbeReport &report) { m_quarantine.probed(report); }
    /// What other entries need to hold the same requests.
    std::vector<decisions::quarantine::CrashReport> heldReports() const;
    /// To be called about once a second.
    void tick() { m_quarantine.tick(m_clock.now()); }

private:
    void attemptCrashed(const LostAttempt &attempt);
    void requestSent(const decisions::quarantine::RequestFeatures &features);
    void clear(const decisions::quarantine::RequestFeatures &features);

    core::SystemClock m_clock;
    EventLog &m_log;
    report::Metrics &m_metrics;
    const std::function<void()> m_onHeld;
    QuarantineReportHandlers m_handlers;
    decisions::quarantine::RequestQuarantine m_quarantine;
    CrashDetector m_crashes;
};

} // namespace lycheelanding::forwarding

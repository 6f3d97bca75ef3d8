#include "lycheelanding/forwarding/requestguard.h"

#include "lycheelanding/forwarding/forwardedfields.h"

#include <chrono>
#include <utility>

namespace lycheelanding::forwarding {

using decisions::quarantine::CrashReport;
using decisions::quarantine::ProgressReport;
using decisions::quarantine::RequestFeatures;

RequestGuard::RequestGuard(asio::io_context &context, std::uint64_t seed, EventLog &log, report::Metrics &metrics,
                           std::function<void()> onHeld)
    : m_log(log), m_metrics(metrics), m_onHeld(std::move(onHeld)),
      m_quarantine(decisions::quarantine::QuarantineSettings(), seed), m_crashes(context, [this](const auto &attempt) {
          const CrashReport report{attempt.backend, attempt.features, m_clock.now()};
          m_metrics.increment(report::Counter::BackendCrashes);
          m_log.write(LogImportance::Request, "backendCrashed",
                      {{"backend", attempt.backend}, {"features", joinedText(attempt.features)}});
          apply(report);
          if (m_handlers.onCrash) {
              m_handlers.onCrash(report);
          }
      })
{ }

std::optional<core::Duration> RequestGuard::holdTime(const RequestFeatures &features) const
{
    return m_quarantine.isEmpty() ? std::nullopt : m_quarantine.holdTime(features, m_clock.now());
}

std::optional<core::Error> RequestGuard::holdError(const RequestFeatures &features) const
{
    const auto time = holdTime(features);
    if (!time) {
        return std::nullopt;
    }
    return core::Error{core::ErrorKind::RequestHeld, "backend servers crashed under requests with the same feature",
                       std::chrono::duration_cast<std::chrono::milliseconds>(*time)};
}

void RequestGuard::requestSent(const RequestFeatures &features)
{
    const auto now = m_clock.now();
    if (m_quarantine.isEmpty() || !m_quarantine.sent(features, now)) {
        return;
    }
    m_log.write(LogImportance::Request, "requestProbed", {{"features", joinedText(features)}});
    if (m_handlers.onProbe) {
        m_handlers.onProbe({features, now});
    }
}

void RequestGuard::answerProgressed(const RequestFeatures &features)
{
    if (m_quarantine.isEmpty()) {
        return;
    }
    const ProgressReport report{features, m_clock.now()};
    if (m_quarantine.progressed(report)) {
        m_log.write(LogImportance::Request, "requestCleared", {{"features", joinedText(features)}});
        if (m_handlers.onProgress) {
            m_handlers.onProgress(report);
        }
    }
}

void RequestGuard::attemptLost(const LostAttempt &attempt)
{
    if (!attempt.features.empty()) {
        m_crashes.attemptLost(attempt);
    }
}

void RequestGuard::apply(const CrashReport &report)
{
    if (!m_quarantine.crashed(report)) {
        return;
    }
    m_metrics.increment(report::Counter::FeaturesHeld);
    m_log.write(LogImportance::State, "requestHeld",
                {{"features", joinedText(report.features)}, {"backend", report.backend}});
    m_onHeld();
}

void RequestGuard::apply(const ProgressReport &report)
{
    m_quarantine.progressed(report);
}

std::vector<CrashReport> RequestGuard::heldReports() const
{
    return m_quarantine.isEmpty() ? std::vector<CrashReport>() : m_quarantine.heldReports(m_clock.now());
}

} // namespace lycheelanding::forwarding

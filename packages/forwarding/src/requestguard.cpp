#include "lycheelanding/forwarding/requestguard.h"

#include "lycheelanding/forwarding/forwardedfields.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace lycheelanding::forwarding {

using decisions::quarantine::CrashReport;
using decisions::quarantine::ProgressReport;
using decisions::quarantine::RequestFeatures;
using decisions::quarantine::SharedFeatures;

namespace {

/// Features that may explain the same crashes. The digest is apart: requests that a part of a prompt crashes have
/// different ones.
std::array<RequestFeatures, 2> groupsOf(const SharedFeatures &features)
{
    return {features.promptParts, RequestFeatures{features.digest}};
}

} // namespace

RequestGuard::RequestGuard(asio::io_context &context, std::uint64_t seed, EventLog &log, report::Metrics &metrics,
                           std::function<void()> onHeld)
    : m_log(log), m_metrics(metrics), m_onHeld(std::move(onHeld)),
      m_quarantine(decisions::quarantine::QuarantineSettings(), seed),
      m_crashes(context, [this](const auto &attempt) { attemptCrashed(attempt); })
{ }

void RequestGuard::attemptCrashed(const LostAttempt &attempt)
{
    m_metrics.increment(report::Counter::BackendCrashes);
    m_log.write(LogImportance::Request, "backendCrashed",
                {{"backend", attempt.backend},
                 {"promptParts", joinedText(attempt.features.promptParts)},
                 {"digest", attempt.features.digest.text()}});
    for (auto &features : groupsOf(attempt.features)) {
        if (features.empty()) {
            continue;
        }
        const CrashReport report{attempt.backend, std::move(features), m_clock.now()};
        apply(report);
        if (m_handlers.onCrash) {
            m_handlers.onCrash(report);
        }
    }
}

std::optional<core::Duration> RequestGuard::holdTime(const SharedFeatures &features) const
{
    if (m_quarantine.isEmpty()) {
        return std::nullopt;
    }
    const auto now = m_clock.now();
    return std::max(m_quarantine.holdTime(features.promptParts, now), m_quarantine.holdTime({features.digest}, now));
}

std::optional<core::Error> RequestGuard::holdError(const SharedFeatures &features) const
{
    const auto time = holdTime(features);
    if (!time) {
        return std::nullopt;
    }
    return core::Error{core::ErrorKind::RequestHeld, "backend servers crashed under requests with the same feature",
                       std::chrono::duration_cast<std::chrono::milliseconds>(*time)};
}

void RequestGuard::requestSent(const SharedFeatures &features)
{
    if (m_quarantine.isEmpty()) {
        return;
    }
    for (const auto &group : groupsOf(features)) {
        requestSent(group);
    }
}

void RequestGuard::requestSent(const RequestFeatures &features)
{
    const auto now = m_clock.now();
    if (!m_quarantine.sent(features, now)) {
        return;
    }
    m_log.write(LogImportance::Request, "requestProbed", {{"features", joinedText(features)}});
    if (m_handlers.onProbe) {
        m_handlers.onProbe({features, now});
    }
}

void RequestGuard::answerProgressed(const SharedFeatures &features)
{
    if (!m_quarantine.isEmpty()) {
        clear(features.promptParts);
    }
}

void RequestGuard::answerCompleted(const SharedFeatures &features)
{
    answerProgressed(features);
    if (!m_quarantine.isEmpty()) {
        clear({features.digest});
    }
}

void RequestGuard::clear(const RequestFeatures &features)
{
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
    m_crashes.attemptLost(attempt);
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

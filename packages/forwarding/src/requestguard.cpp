#include "lycheelanding/forwarding/promptguard.h"

#include "lycheelanding/forwarding/forwardedfields.h"

#include <chrono>
#include <utility>

namespace lycheelanding::forwarding {

using decisions::quarantine::CrashReport;
using decisions::quarantine::ProgressReport;
using decisions::quarantine::PromptParts;

PromptGuard::PromptGuard(asio::io_context &context, std::uint64_t seed, EventLog &log, report::Metrics &metrics,
                         std::function<void()> onHeld)
    : m_log(log), m_metrics(metrics), m_onHeld(std::move(onHeld)),
      m_quarantine(decisions::quarantine::QuarantineSettings(), seed), m_crashes(context, [this](const auto &attempt) {
          const CrashReport report{attempt.backend, attempt.promptParts, m_clock.now()};
          m_metrics.increment(report::Counter::BackendCrashes);
          m_log.write(LogImportance::Request, "backendCrashed",
                      {{"backend", attempt.backend}, {"promptParts", joinedText(attempt.promptParts)}});
          apply(report);
          if (m_handlers.onCrash) {
              m_handlers.onCrash(report);
          }
      })
{ }

std::optional<core::Duration> PromptGuard::holdTime(const PromptParts &parts) const
{
    return m_quarantine.isEmpty() ? std::nullopt : m_quarantine.holdTime(parts, m_clock.now());
}

std::optional<core::Error> PromptGuard::holdError(const PromptParts &parts) const
{
    const auto time = holdTime(parts);
    if (!time) {
        return std::nullopt;
    }
    return core::Error{core::ErrorKind::PromptHeld, "backend servers crashed under prompts with the same part",
                       std::chrono::duration_cast<std::chrono::milliseconds>(*time)};
}

void PromptGuard::requestSent(const PromptParts &parts)
{
    const auto now = m_clock.now();
    if (m_quarantine.isEmpty() || !m_quarantine.sent(parts, now)) {
        return;
    }
    m_log.write(LogImportance::Request, "promptProbed", {{"promptParts", joinedText(parts)}});
    if (m_handlers.onProbe) {
        m_handlers.onProbe({parts, now});
    }
}

void PromptGuard::answerProgressed(const PromptParts &parts)
{
    if (m_quarantine.isEmpty()) {
        return;
    }
    const ProgressReport report{parts, m_clock.now()};
    if (m_quarantine.progressed(report)) {
        m_log.write(LogImportance::Request, "promptCleared", {{"promptParts", joinedText(parts)}});
        if (m_handlers.onProgress) {
            m_handlers.onProgress(report);
        }
    }
}

void PromptGuard::attemptLost(const LostAttempt &attempt)
{
    if (!attempt.promptParts.empty()) {
        m_crashes.attemptLost(attempt);
    }
}

void PromptGuard::apply(const CrashReport &report)
{
    if (!m_quarantine.crashed(report)) {
        return;
    }
    m_metrics.increment(report::Counter::PromptsHeld);
    m_log.write(LogImportance::State, "promptHeld",
                {{"promptParts", joinedText(report.parts)}, {"backend", report.backend}});
    m_onHeld();
}

void PromptGuard::apply(const ProgressReport &report)
{
    m_quarantine.progressed(report);
}

std::vector<CrashReport> PromptGuard::heldReports() const
{
    return m_quarantine.isEmpty() ? std::vector<CrashReport>() : m_quarantine.heldReports(m_clock.now());
}

} // namespace lycheelanding::forwarding

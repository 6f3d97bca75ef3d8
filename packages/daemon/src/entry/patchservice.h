#pragma once

#include "entry/instrumentedstore.h"
#include "lycheelanding/configuration/configurationrecord.h"
#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/distribution/patchacceptance.h"
#include "lycheelanding/report/metrics.h"
#include "runtime/workerpool.h"
#include "shared/configurationupdater.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace lycheelanding::daemon::entry {

/// Key of the configuration record in the key-value service.
inline constexpr const char *configurationKey = "configuration";

using PatchHandler = std::function<void(const decisions::distribution::PatchAnswer &)>;

/// Applies operators' patches to the configuration record by compare-and-swap in the key-value service.
class PatchService
{
public:
    PatchService(asio::io_context &context, InstrumentedStore &store, shared::ConfigurationUpdater &updater,
                 report::Metrics &metrics);

    /// `onAnswer` is called once, on any thread.
    void submit(configuration::SubmittedPatch patch, PatchHandler onAnswer);

private:
    using Acceptance = decisions::distribution::PatchAcceptance<configuration::ConfigurationRecordEditor>;
    using Actions = decisions::distribution::AcceptanceActions;

    template <typename Event>
    void handle(Event event);
    void execute(const Actions &actions);
    void read(decisions::distribution::StoreCallNumber call);
    void write(const decisions::distribution::WriteStore &write);
    void answer(const decisions::distribution::AnswerPatch &answer);

    InstrumentedStore &m_store;
    shared::ConfigurationUpdater &m_updater;
    report::Metrics &m_metrics;
    core::SystemClock m_clock;
    std::mutex m_mutex;
    Acceptance m_acceptance;
    decisions::distribution::SubmissionNumber m_lastSubmission;
    std::map<decisions::distribution::SubmissionNumber, PatchHandler> m_handlers;
    runtime::RepeatingTimer m_timer;
};

} // namespace lycheelanding::daemon::entry

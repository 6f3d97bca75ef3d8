#include "entry/patchservice.h"

#include "shared/randomnumbers.h"

namespace lycheelanding::daemon::entry {

namespace {

using namespace decisions::distribution;

constexpr std::chrono::milliseconds tickInterval(20);

PatchAcceptanceSettings acceptanceSettings()
{
    PatchAcceptanceSettings settings;
    settings.seed = shared::randomNumber();
    return settings;
}

RecordReadResult readResultFrom(const core::Result<std::optional<services::StoredValue>> &result)
{
    if (!core::isOk(result)) {
        return {};
    }
    const auto &stored = core::valueOf(result);
    return stored ? RecordReadResult{StoreReadState::Found, stored->value, stored->revision}
                  : RecordReadResult{StoreReadState::Missing, {}, 0};
}

StoreWriteOutcome writeOutcomeFrom(services::WriteOutcome outcome)
{
    switch (outcome) {
    case services::WriteOutcome::Written:
        return StoreWriteOutcome::Written;
    case services::WriteOutcome::Conflict:
        return StoreWriteOutcome::Conflict;
    case services::WriteOutcome::Unknown:
        return StoreWriteOutcome::Unknown;
    case services::WriteOutcome::Unavailable:
        break;
    }
    return StoreWriteOutcome::Unavailable;
}

/// The counter of an outcome. None for Unavailable, which is counted among the store failures and refusals.
std::optional<report::Counter> counterOf(PatchOutcome outcome)
{
    switch (outcome) {
    case PatchOutcome::Accepted:
        return report::Counter::PatchesAccepted;
    case PatchOutcome::Conflict:
        return report::Counter::PatchesConflicting;
    case PatchOutcome::Invalid:
        return report::Counter::PatchesInvalid;
    case PatchOutcome::Undecided:
        return report::Counter::PatchesUndecided;
    case PatchOutcome::Unavailable:
        break;
    }
    return std::nullopt;
}

} // namespace

PatchService::PatchService(asio::io_context &context, InstrumentedStore &store, shared::ConfigurationUpdater &updater,
                           report::Metrics &metrics)
    : m_store(store), m_updater(updater), m_metrics(metrics),
      m_acceptance(configuration::ConfigurationRecordEditor(), acceptanceSettings()),
      m_timer(context, tickInterval,
              [this] { handle([](Acceptance &acceptance, core::TimePoint now) { return acceptance.tick(now); }); })
{ }

template <typename Event>
void PatchService::handle(Event event)
{
    Actions actions;
    {
        const std::scoped_lock lock(m_mutex);
        actions = event(m_acceptance, m_clock.now());
    }
    execute(actions);
}

void PatchService::execute(const Actions &actions)
{
    for (const auto &action : actions) {
        if (const auto *readAction = std::get_if<ReadStore>(&action)) {
            read(readAction->call);
        } else if (const auto *writeAction = std::get_if<WriteStore>(&action)) {
            write(*writeAction);
        } else if (const auto *answerAction = std::get_if<AnswerPatch>(&action)) {
            answer(*answerAction);
        } else if (const auto *learned = std::get_if<VersionLearned>(&action)) {
            m_updater.versionLearned(learned->version, learned->document);
        }
    }
}

void PatchService::submit(configuration::SubmittedPatch patch, PatchHandler onAnswer)
{
    handle([&](Acceptance &acceptance, core::TimePoint now) {
        m_lastSubmission = m_lastSubmission.next();
        m_handlers.emplace(m_lastSubmission, std::move(onAnswer));
        return acceptance.patchSubmitted(m_lastSubmission, std::move(patch), now);
    });
}

void PatchService::read(StoreCallNumber call)
{
    m_store.read(configurationKey, [this, call](const auto &result) {
        const auto readResult = readResultFrom(result);
        handle([&](Acceptance &acceptance, core::TimePoint now) {
            return acceptance.storeRead(call, readResult, now, m_clock.wallNow());
        });
    });
}

void PatchService::write(const WriteStore &write)
{
    m_store.write(configurationKey, write.text, write.expectedRevision,
                  [this, call = write.call](const services::WriteAnswer &answer) {
                      handle([&](Acceptance &acceptance, core::TimePoint now) {
                          return acceptance.storeWritten(call, writeOutcomeFrom(answer.outcome), now);
                      });
                  });
}

void PatchService::answer(const AnswerPatch &answer)
{
    PatchHandler handler;
    {
        const std::scoped_lock lock(m_mutex);
        const auto found = m_handlers.find(answer.submission);
        if (found == m_handlers.end()) {
            return;
        }
        handler = std::move(found->second);
        m_handlers.erase(found);
    }
    if (const auto counter = counterOf(answer.answer.outcome)) {
        m_metrics.increment(*counter);
    }
    handler(answer.answer);
}

} // namespace lycheelanding::daemon::entry

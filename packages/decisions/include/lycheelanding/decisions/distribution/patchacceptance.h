#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/random.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/decisions/distribution/storecalls.h"

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <deque>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace lycheelanding::decisions::distribution {

/// Reads and changes the stored record. The formats of documents and patches are known to the editor only.
///
/// apply() fails with VersionConflict when the patch names another version than the record's. versionOfRepeat() returns
/// the version that an earlier submission of the same patch led to, if the record holds it.
template <typename Type>
concept RecordEditor = requires(const Type &editor, const typename Type::Record &record,
                                const typename Type::Patch &patch, std::string_view text, core::WallTime now)
{
    {
        editor.empty()
        } -> std::same_as<typename Type::Record>;
    {
        editor.decode(text)
        } -> std::same_as<core::Result<typename Type::Record>>;
    {
        editor.encode(record)
        } -> std::same_as<core::Result<std::string>>;
    {
        editor.versionOfRepeat(record, patch)
        } -> std::same_as<core::Result<std::optional<core::ConfigurationVersion>>>;
    {
        editor.apply(record, patch, now)
        } -> std::same_as<core::Result<typename Type::Record>>;
    {
        editor.version(record)
        } -> std::same_as<core::ConfigurationVersion>;
    {
        editor.document(record)
        } -> std::convertible_to<std::string>;
};

/// Number of a submission, unique within one PatchAcceptance.
using SubmissionNumber = core::NumberId<struct SubmissionTag>;

enum class PatchOutcome : std::uint8_t {
    Accepted,
    /// Another version is current; nothing was changed.
    Conflict,
    /// The patch is invalid; nothing was changed.
    Invalid,
    /// The patch may have been accepted. Submitting it again returns the version that it led to, or a definite answer.
    Undecided,
    /// The store was not reached; nothing was changed.
    Unavailable,
};

struct PatchAnswer
{
    PatchOutcome outcome = PatchOutcome::Unavailable;
    /// Accepted: the version that the patch led to. Conflict: the current one.
    core::ConfigurationVersion version;
    /// Set for all outcomes except Accepted.
    core::Error error;
};

struct ReadStore
{
    StoreCallNumber call;
};

/// Compare-and-swap: writes only when the key is at `expectedRevision`; 0 means that it must not exist.
struct WriteStore
{
    StoreCallNumber call;
    std::string text;
    std::uint64_t expectedRevision = 0;
};

struct AnswerPatch
{
    SubmissionNumber submission;
    PatchAnswer answer;
};

/// The store holds this version; pass it to the process's ConfigurationInstaller.
struct VersionLearned
{
    core::ConfigurationVersion version;
    std::string document;
};

using AcceptanceAction = std::variant<ReadStore, WriteStore, AnswerPatch, VersionLearned>;
using AcceptanceActions = std::vector<AcceptanceAction>;

struct PatchAcceptanceSettings
{
    /// Maximum time from submission to answer.
    core::Duration answerTimeout = std::chrono::seconds(8);
    /// A store call without an answer for this long counts as failed.
    core::Duration callTimeout = std::chrono::seconds(2);
    /// Delay before the first retry of a store call; doubles up to maxRetryDelay.
    core::Duration firstRetryDelay = std::chrono::milliseconds(50);
    core::Duration maxRetryDelay = std::chrono::seconds(1);
    /// Submissions queued behind the one in progress; further ones are refused.
    std::size_t maxWaiting = 32;
    std::uint64_t seed = 1;
};

/// Turns submitted patches into versions of the stored record, one submission at a time.
///
/// For each submission the record is read, edited, and written by compare-and-swap. After an unanswered write it is
/// read again: it holds the patch, or is still at the same revision, or has a newer revision without the patch, in
/// which case the unanswered compare-and-swap can no longer succeed.
template <RecordEditor Editor>
class PatchAcceptance
{
public:
    using Record = typename Editor::Record;
    using Patch = typename Editor::Patch;

    PatchAcceptance(Editor editor, PatchAcceptanceSettings settings)
        : m_editor(std::move(editor)), m_settings(settings), m_random(settings.seed)
    { }

    AcceptanceActions patchSubmitted(SubmissionNumber submission, Patch patch, core::TimePoint now);
    AcceptanceActions storeRead(StoreCallNumber call, const RecordReadResult &result, core::TimePoint now,
                                core::WallTime wallNow);
    AcceptanceActions storeWritten(StoreCallNumber call, StoreWriteOutcome outcome, core::TimePoint now);
    /// To be called at least every 100 ms while hasWork().
    AcceptanceActions tick(core::TimePoint now);

    bool hasWork() const { return !m_submissions.empty(); }

private:
    struct Submission
    {
        SubmissionNumber number;
        Patch patch;
        core::TimePoint deadline;
    };

    enum class Phase : std::uint8_t {
        Idle,
        Reading,
        Writing,
        Waiting,
    };

    void read(core::TimePoint now, AcceptanceActions &actions);
    void write(Record next, std::uint64_t revision, core::TimePoint now, AcceptanceActions &actions);
    void evaluate(const Record &record, std::uint64_t revision, core::TimePoint now, core::WallTime wallNow,
                  AcceptanceActions &actions);
    void retryLater(core::TimePoint now);
    void finish(PatchAnswer answer, core::TimePoint now, AcceptanceActions &actions);
    void giveUp(core::TimePoint now, AcceptanceActions &actions);
    void refuseExpiredSubmissions(core::TimePoint now, AcceptanceActions &actions);
    bool isAwaited(StoreCallNumber call, Phase phase) const { return m_phase == phase && m_call == call; }

    static PatchAnswer failure(PatchOutcome outcome, core::Error error) { return {outcome, {}, std::move(error)}; }

    Editor m_editor;
    PatchAcceptanceSettings m_settings;
    core::RandomSequence m_random;

    /// The first one is in progress.
    std::deque<Submission> m_submissions;
    Phase m_phase = Phase::Idle;
    StoreCallNumber m_call;
    /// While a call is open: its deadline. While waiting: when to read again.
    core::TimePoint m_phaseEnd;
    core::Duration m_retryDelay{};
    /// An earlier write of the submission in progress may have taken effect.
    bool m_mayHaveWritten = false;
    std::optional<Record> m_pendingRecord;
};

template <RecordEditor Editor>
AcceptanceActions PatchAcceptance<Editor>::patchSubmitted(SubmissionNumber submission, Patch patch, core::TimePoint now)
{
    AcceptanceActions actions;
    if (m_submissions.size() > m_settings.maxWaiting) {
        const core::Error error{core::ErrorKind::Overloaded, "too many patches wait to be accepted"};
        actions.emplace_back(AnswerPatch{submission, failure(PatchOutcome::Unavailable, error)});
        return actions;
    }
    m_submissions.push_back({submission, std::move(patch), now + m_settings.answerTimeout});
    if (m_phase == Phase::Idle) {
        read(now, actions);
    }
    return actions;
}

template <RecordEditor Editor>
AcceptanceActions PatchAcceptance<Editor>::storeRead(StoreCallNumber call, const RecordReadResult &result,
                                                     core::TimePoint now, core::WallTime wallNow)
{
    AcceptanceActions actions;
    if (!isAwaited(call, Phase::Reading)) {
        return actions;
    }
    if (result.state == StoreReadState::Unavailable) {
        retryLater(now);
        return actions;
    }
    if (result.state == StoreReadState::Missing) {
        evaluate(m_editor.empty(), 0, now, wallNow, actions);
        return actions;
    }
    const auto record = m_editor.decode(result.text);
    if (!core::isOk(record)) {
        finish(failure(PatchOutcome::Unavailable, core::errorOf(record)), now, actions);
        return actions;
    }
    actions.push_back(
        VersionLearned{m_editor.version(core::valueOf(record)), std::string(m_editor.document(core::valueOf(record)))});
    evaluate(core::valueOf(record), result.revision, now, wallNow, actions);
    return actions;
}

template <RecordEditor Editor>
AcceptanceActions PatchAcceptance<Editor>::storeWritten(StoreCallNumber call, StoreWriteOutcome outcome,
                                                        core::TimePoint now)
{
    AcceptanceActions actions;
    if (!isAwaited(call, Phase::Writing)) {
        return actions;
    }
    switch (outcome) {
    case StoreWriteOutcome::Written: {
        const auto version = m_editor.version(*m_pendingRecord);
        actions.emplace_back(VersionLearned{version, std::string(m_editor.document(*m_pendingRecord))});
        finish({PatchOutcome::Accepted, version, {}}, now, actions);
        break;
    }
    case StoreWriteOutcome::Conflict:
        // Either another patch was accepted, or an unanswered write of this one took effect; the record shows which.
        read(now, actions);
        break;
    case StoreWriteOutcome::Unknown:
        m_mayHaveWritten = true;
        retryLater(now);
        break;
    case StoreWriteOutcome::Unavailable:
        retryLater(now);
        break;
    }
    return actions;
}

template <RecordEditor Editor>
AcceptanceActions PatchAcceptance<Editor>::tick(core::TimePoint now)
{
    AcceptanceActions actions;
    refuseExpiredSubmissions(now, actions);
    if (m_phase == Phase::Idle) {
        return actions;
    }
    if (now >= m_submissions.front().deadline) {
        giveUp(now, actions);
        return actions;
    }
    if (now < m_phaseEnd) {
        return actions;
    }
    if (m_phase == Phase::Waiting) {
        read(now, actions);
        return actions;
    }
    m_mayHaveWritten = m_mayHaveWritten || m_phase == Phase::Writing;
    retryLater(now);
    return actions;
}

template <RecordEditor Editor>
void PatchAcceptance<Editor>::read(core::TimePoint now, AcceptanceActions &actions)
{
    m_phase = Phase::Reading;
    m_call = m_call.next();
    m_phaseEnd = now + m_settings.callTimeout;
    actions.emplace_back(ReadStore{m_call});
}

template <RecordEditor Editor>
void PatchAcceptance<Editor>::write(Record next, std::uint64_t revision, core::TimePoint now,
                                    AcceptanceActions &actions)
{
    auto text = m_editor.encode(next);
    if (!core::isOk(text)) {
        finish(failure(PatchOutcome::Invalid, core::errorOf(text)), now, actions);
        return;
    }
    m_pendingRecord = std::move(next);
    m_phase = Phase::Writing;
    m_call = m_call.next();
    m_phaseEnd = now + m_settings.callTimeout;
    actions.emplace_back(WriteStore{m_call, core::takeValue(std::move(text)), revision});
}

template <RecordEditor Editor>
void PatchAcceptance<Editor>::evaluate(const Record &record, std::uint64_t revision, core::TimePoint now,
                                       core::WallTime wallNow, AcceptanceActions &actions)
{
    const auto &patch = m_submissions.front().patch;
    const auto repeat = m_editor.versionOfRepeat(record, patch);
    if (!core::isOk(repeat)) {
        finish(failure(PatchOutcome::Invalid, core::errorOf(repeat)), now, actions);
        return;
    }
    if (const auto &version = core::valueOf(repeat)) {
        finish({PatchOutcome::Accepted, *version, {}}, now, actions);
        return;
    }
    auto next = m_editor.apply(record, patch, wallNow);
    if (core::isOk(next)) {
        write(core::takeValue(std::move(next)), revision, now, actions);
        return;
    }
    const auto &error = core::errorOf(next);
    const bool isConflict = error.kind == core::ErrorKind::VersionConflict;
    finish({isConflict ? PatchOutcome::Conflict : PatchOutcome::Invalid, m_editor.version(record), error}, now,
           actions);
}

template <RecordEditor Editor>
void PatchAcceptance<Editor>::retryLater(core::TimePoint now)
{
    m_phase = Phase::Waiting;
    m_retryDelay = std::clamp(2 * m_retryDelay, m_settings.firstRetryDelay, m_settings.maxRetryDelay);
    // Random between half of the delay and all of it, so that entries do not retry simultaneously after an outage.
    const double fraction = 0.5 + m_random.nextUnit() / 2;
    m_phaseEnd = now + std::chrono::duration_cast<core::Duration>(m_retryDelay * fraction);
}

template <RecordEditor Editor>
void PatchAcceptance<Editor>::finish(PatchAnswer answer, core::TimePoint now, AcceptanceActions &actions)
{
    actions.emplace_back(AnswerPatch{m_submissions.front().number, std::move(answer)});
    m_submissions.pop_front();
    m_phase = Phase::Idle;
    m_retryDelay = {};
    m_mayHaveWritten = false;
    m_pendingRecord.reset();
    if (!m_submissions.empty()) {
        read(now, actions);
    }
}

template <RecordEditor Editor>
void PatchAcceptance<Editor>::giveUp(core::TimePoint now, AcceptanceActions &actions)
{
    if (m_mayHaveWritten || m_phase == Phase::Writing) {
        const core::Error error{core::ErrorKind::PatchUndecided,
                                "the key-value service did not confirm the write; repeat with the same patch id"};
        finish(failure(PatchOutcome::Undecided, error), now, actions);
        return;
    }
    const core::Error error{core::ErrorKind::StoreUnavailable, "the key-value service did not answer"};
    finish(failure(PatchOutcome::Unavailable, error), now, actions);
}

template <RecordEditor Editor>
void PatchAcceptance<Editor>::refuseExpiredSubmissions(core::TimePoint now, AcceptanceActions &actions)
{
    while (m_submissions.size() > 1 && m_submissions[1].deadline <= now) {
        const core::Error error{core::ErrorKind::StoreUnavailable, "earlier patches wait for the key-value service"};
        actions.emplace_back(AnswerPatch{m_submissions[1].number, failure(PatchOutcome::Unavailable, error)});
        m_submissions.erase(std::next(m_submissions.begin()));
    }
}

} // namespace lycheelanding::decisions::distribution

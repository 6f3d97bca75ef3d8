#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"
#include "lycheelanding/decisions/idempotency/claimkey.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace lycheelanding::decisions::idempotency {

struct KeptAnswersSettings
{
    /// Maximum age of a claim when its attempt is admitted, by the wall clocks of the entry and the side.
    std::chrono::seconds admissionWindow{300};
    /// Maximum difference between the wall clocks of any two VMs.
    std::chrono::seconds maxClockSkew{60};
    /// How long an answer is kept while capacity allows; it need not exceed the retention of claims.
    std::chrono::seconds answerRetention{3600};
    /// Maximum number of recorded nonces; further attempts are refused until the admission window of older ones has
    /// passed.
    std::size_t maxNonces = 200000;
    /// Maximum total size of kept answers in bytes; the oldest answers are evicted first, their nonces stay recorded.
    std::size_t maxAnswerBytes = 64U << 20U;
};

enum class AttemptState : std::uint8_t {
    /// No record of the attempt: it may be admitted.
    Unknown,
    /// Guaranteed never to run here.
    Forbidden,
    Running,
    /// Has run; its answer may be available.
    Finished,
};

enum class AdmissionVerdict : std::uint8_t {
    Admitted,
    /// The same nonce was admitted or forbidden before.
    Repeated,
    /// The claim names another incarnation of the side: not run.
    OtherIncarnation,
    /// The claim is too old or lies in the future: not run.
    OutsideWindow,
    /// The table of nonces is full: not run.
    Full,
};

/// The parts of a claim that admission needs.
struct AttemptClaim
{
    AttemptNonce nonce;
    /// The incarnation of the side that the claim names.
    core::Incarnation sideIncarnation;
    core::WallTime claimedAt;
};

/// The side's record of non-idempotent attempts. Admits no nonce twice in one incarnation of the side, and keeps the
/// answers of finished attempts for callers that repeat their request.
class KeptAnswers
{
public:
    /// `incarnation` is the current one of the side.
    KeptAnswers(const KeptAnswersSettings &settings, core::Incarnation incarnation);

    AdmissionVerdict admit(const AttemptClaim &attempt, core::WallTime wallNow);
    /// Guarantees that an attempt not yet admitted never will be. Returns Forbidden when the guarantee holds. Otherwise
    /// returns the state of an attempt that was admitted, or Unknown when the table is full, when the claim names
    /// another incarnation of the side, or when it is so old that the attempt may have run and its record expired.
    AttemptState forbid(const AttemptClaim &attempt, core::WallTime wallNow);
    /// Records that the attempt has run and keeps its answer, if it fits into maxAnswerBytes.
    void finish(AttemptNonce nonce, std::string answer);
    /// Records that an admitted attempt was certainly not sent to the backend server; it can never be admitted again.
    void abandon(AttemptNonce nonce);

    AttemptState stateOf(AttemptNonce nonce) const;
    /// The kept answer, or null when the attempt has not finished or its answer has been evicted.
    const std::string *answerOf(AttemptNonce nonce) const;
    std::size_t size() const { return m_records.size(); }

private:
    struct Record
    {
        AttemptState state = AttemptState::Unknown;
        std::optional<std::string> answer;
    };

    struct Expiry
    {
        AttemptNonce nonce;
        /// After this time the admission window excludes the nonce, so its record may be removed to free capacity.
        core::WallTime evictableAt;
        core::WallTime expiresAt;
    };

    void removeExpired(core::WallTime wallNow);
    void removeRecord(AttemptNonce nonce);
    /// False when the table is full.
    bool addRecord(AttemptNonce nonce, AttemptState state, core::WallTime wallNow);

    KeptAnswersSettings m_settings;
    core::Incarnation m_incarnation;
    std::unordered_map<AttemptNonce, Record> m_records;
    /// Oldest first.
    std::deque<Expiry> m_expiries;
    /// Nonces with a kept answer, in the order in which they finished.
    std::deque<AttemptNonce> m_answerOrder;
    std::size_t m_answerBytes = 0;
};

} // namespace lycheelanding::decisions::idempotency

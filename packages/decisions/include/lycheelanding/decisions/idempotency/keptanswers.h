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
    /// How old a claim may be, by the wall clocks of entry and side, when its attempt is admitted.
    std::chrono::seconds admissionWindow{300};
    /// Largest difference between the wall clocks of any two VMs.
    std::chrono::seconds maxClockSkew{60};
    /// How long an answer is kept, as far as there is room; the retention of claims is enough.
    std::chrono::seconds answerRetention{3600};
    /// Nonces that are remembered; further attempts are refused until the admission window of older ones has passed.
    std::size_t maxNonces = 200000;
    /// Bytes of finished answers; the oldest answers go first, their nonces stay.
    std::size_t maxAnswerBytes = 64U << 20U;
};

enum class AttemptState : std::uint8_t {
    /// Not known here: the attempt may be admitted.
    Unknown,
    /// Promised never to run here.
    Forbidden,
    Running,
    /// Has run; the answer may be kept.
    Finished,
};

enum class AdmissionVerdict : std::uint8_t {
    Admitted,
    /// The same nonce was admitted, or forbidden, before.
    Repeated,
    /// The claim names another life of the side: not run.
    OtherIncarnation,
    /// The claim is too old, or of the future: not run.
    OutsideWindow,
    /// The table of nonces is full: not run.
    Full,
};

/// An attempt as its claim describes it.
struct AttemptClaim
{
    AttemptNonce nonce;
    /// The life of the side that the claim names.
    core::Incarnation sideIncarnation;
    core::WallTime claimedAt;
};

/// The side's record of non-idempotent attempts: no nonce is admitted twice in one life of the side, and finished
/// answers are kept for callers that repeat their request.
class KeptAnswers
{
public:
    /// `incarnation` is this life of the side.
    KeptAnswers(const KeptAnswersSettings &settings, core::Incarnation incarnation);

    AdmissionVerdict admit(const AttemptClaim &attempt, core::WallTime wallNow);
    /// Promises that an attempt not yet admitted never will be. Returns Forbidden when the promise holds, and what
    /// stands in its way otherwise: Unknown when the table is full, when the claim names another life of the side, or
    /// when it is so old that the attempt may have run and been forgotten.
    AttemptState forbid(const AttemptClaim &attempt, core::WallTime wallNow);
    /// The attempt has run and has this answer.
    void finish(AttemptNonce nonce, std::string answer);
    /// The attempt was admitted, but the backend server provably never got it.
    void abandon(AttemptNonce nonce);

    AttemptState stateOf(AttemptNonce nonce) const;
    /// The kept answer, or null when the attempt has not finished or its answer has been dropped.
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
        /// From then on no attempt with this nonce is admitted anyway.
        core::WallTime evictableAt;
        core::WallTime expiresAt;
    };

    void removeExpired(core::WallTime wallNow);
    void removeRecord(AttemptNonce nonce);
    bool addRecord(AttemptNonce nonce, AttemptState state, core::WallTime wallNow);

    KeptAnswersSettings m_settings;
    core::Incarnation m_incarnation;
    std::unordered_map<AttemptNonce, Record> m_records;
    /// Oldest first.
    std::deque<Expiry> m_expiries;
    std::deque<AttemptNonce> m_answerOrder;
    std::size_t m_answerBytes = 0;
};

} // namespace lycheelanding::decisions::idempotency

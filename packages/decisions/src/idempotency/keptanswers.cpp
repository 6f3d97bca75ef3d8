#include "lycheelanding/decisions/idempotency/keptanswers.h"

#include <algorithm>
#include <utility>

namespace lycheelanding::decisions::idempotency {

KeptAnswers::KeptAnswers(const KeptAnswersSettings &settings, core::Incarnation incarnation)
    : m_settings(settings), m_incarnation(incarnation)
{ }

AdmissionVerdict KeptAnswers::admit(const AttemptClaim &attempt, core::WallTime wallNow)
{
    removeExpired(wallNow);
    // Another incarnation may have run the attempt, or guaranteed that it never runs.
    if (attempt.sideIncarnation != m_incarnation) {
        return AdmissionVerdict::OtherIncarnation;
    }
    // The claim may have been removed from the store, or the record of its nonce may have expired here.
    const bool isTooOld = wallNow > attempt.claimedAt + m_settings.admissionWindow;
    const bool isInFuture = attempt.claimedAt > wallNow + m_settings.maxClockSkew;
    if (isTooOld || isInFuture) {
        return AdmissionVerdict::OutsideWindow;
    }
    if (m_records.contains(attempt.nonce)) {
        return AdmissionVerdict::Repeated;
    }
    return addRecord(attempt.nonce, AttemptState::Running, wallNow) ? AdmissionVerdict::Admitted
                                                                    : AdmissionVerdict::Full;
}

AttemptState KeptAnswers::forbid(const AttemptClaim &attempt, core::WallTime wallNow)
{
    removeExpired(wallNow);
    const AttemptState state = stateOf(attempt.nonce);
    if (state != AttemptState::Unknown) {
        return state;
    }
    const bool mayHaveExpired = wallNow > attempt.claimedAt + m_settings.admissionWindow;
    if (attempt.sideIncarnation != m_incarnation || mayHaveExpired) {
        return AttemptState::Unknown;
    }
    return addRecord(attempt.nonce, AttemptState::Forbidden, wallNow) ? AttemptState::Forbidden : AttemptState::Unknown;
}

void KeptAnswers::finish(AttemptNonce nonce, std::string answer)
{
    const auto record = m_records.find(nonce);
    if (record == m_records.end() || record->second.state != AttemptState::Running) {
        return;
    }
    record->second.state = AttemptState::Finished;
    if (answer.size() > m_settings.maxAnswerBytes) {
        return;
    }
    m_answerBytes += answer.size();
    record->second.answer = std::move(answer);
    m_answerOrder.push_back(nonce);
    while (m_answerBytes > m_settings.maxAnswerBytes) {
        const auto oldest = m_records.find(m_answerOrder.front());
        m_answerOrder.pop_front();
        if (oldest != m_records.end() && oldest->second.answer) {
            m_answerBytes -= oldest->second.answer->size();
            oldest->second.answer.reset();
        }
    }
}

void KeptAnswers::abandon(AttemptNonce nonce)
{
    const auto record = m_records.find(nonce);
    if (record != m_records.end() && record->second.state == AttemptState::Running) {
        record->second.state = AttemptState::Forbidden;
    }
}

AttemptState KeptAnswers::stateOf(AttemptNonce nonce) const
{
    const auto record = m_records.find(nonce);
    return record == m_records.end() ? AttemptState::Unknown : record->second.state;
}

const std::string *KeptAnswers::answerOf(AttemptNonce nonce) const
{
    const auto record = m_records.find(nonce);
    if (record == m_records.end() || !record->second.answer) {
        return nullptr;
    }
    return &*record->second.answer;
}

void KeptAnswers::removeExpired(core::WallTime wallNow)
{
    while (!m_expiries.empty()) {
        const Expiry &oldest = m_expiries.front();
        const bool isFull = m_records.size() >= m_settings.maxNonces;
        if (wallNow <= (isFull ? oldest.evictableAt : oldest.expiresAt)) {
            break;
        }
        removeRecord(oldest.nonce);
        m_expiries.pop_front();
    }
    // Attempts finish in nearly the order of their admission, so the nonces of evicted answers are at the front.
    while (!m_answerOrder.empty() && answerOf(m_answerOrder.front()) == nullptr) {
        m_answerOrder.pop_front();
    }
}

void KeptAnswers::removeRecord(AttemptNonce nonce)
{
    const auto record = m_records.find(nonce);
    if (record == m_records.end()) {
        return;
    }
    if (record->second.answer) {
        m_answerBytes -= record->second.answer->size();
    }
    m_records.erase(record);
}

bool KeptAnswers::addRecord(AttemptNonce nonce, AttemptState state, core::WallTime wallNow)
{
    if (m_records.size() >= m_settings.maxNonces) {
        return false;
    }
    // Twice the skew: the claim time may be ahead of this clock by up to one maxClockSkew.
    const auto evictableAt = wallNow + m_settings.admissionWindow + 2 * m_settings.maxClockSkew;
    const auto expiresAt = std::max(evictableAt, wallNow + m_settings.answerRetention);
    m_records.emplace(nonce, Record{state, std::nullopt});
    m_expiries.push_back({nonce, evictableAt, expiresAt});
    return true;
}

} // namespace lycheelanding::decisions::idempotency

#include "lycheelanding/decisions/intake/coldbackends.h"

#include "lycheelanding/core/nametable.h"

#include <array>
#include <chrono>
#include <cmath>
#include <utility>

namespace lycheelanding::decisions::intake {

namespace {

constexpr std::array<core::NameEntry<ColdSource>, 5> sourceNames{{
    {ColdSource::Registration, "registration"},
    {ColdSource::Start, "start"},
    {ColdSource::Answer, "answer"},
    {ColdSource::Time, "time"},
    {ColdSource::Configuration, "configuration"},
}};

/// How long an incarnation without reports is remembered: as long as the directory remembers those that have left, as
/// the store may come back from a copy with their registrations.
constexpr std::chrono::minutes unreportedTimeToLive{2};
/// Longer times are faults of the writer: backend servers are cold for seconds.
constexpr std::chrono::hours maxColdTime{1};

} // namespace

std::string_view nameOf(ColdSource source)
{
    return core::nameIn(sourceNames, source);
}

std::optional<core::Duration> coldTimeFrom(double milliseconds)
{
    const std::chrono::duration<double, std::milli> time(milliseconds);
    if (!std::isfinite(milliseconds) || milliseconds < 0.0 || time > maxColdTime) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<core::Duration>(time);
}

ColdChanges ColdBackends::setTerms(std::map<core::ServiceId, ColdTerms> terms, core::TimePoint now)
{
    std::erase_if(terms, [](const auto &item) { return !(item.second.perSecond > 0.0); });
    m_terms = std::move(terms);
    ColdChanges changes;
    for (auto &[id, state] : m_states) {
        update(id, state, ColdSource::Configuration, now, changes);
    }
    return changes;
}

ColdChanges ColdBackends::registered(const ColdRegistration &registration, core::TimePoint now)
{
    const auto [found, isUnknown] = m_states.try_emplace(registration.backend);
    auto &state = found->second;
    const bool areStartsKnown = state.startedAtMs > 0 && registration.startedAtMs > 0;
    if (!isUnknown && areStartsKnown && registration.startedAtMs < state.startedAtMs) {
        return {};
    }
    const bool isNewStart = isUnknown || (areStartsKnown && registration.startedAtMs > state.startedAtMs);
    if (!isNewStart && registration.sequence <= state.sequence) {
        return {};
    }
    if (isNewStart) {
        const auto coldUntil = state.coldUntil;
        const double perSecond = state.perSecond;
        state = State{};
        state.knownSince = now;
        state.coldUntil = coldUntil;
        state.perSecond = perSecond;
    }
    state.lastSeen = now;
    state.service = registration.service;
    state.startedAtMs = registration.startedAtMs > 0 ? registration.startedAtMs : state.startedAtMs;
    state.sequence = registration.sequence;
    state.revision = registration.revision;
    if (registration.remaining) {
        state.reportedAt = now;
        state.remaining = *registration.remaining;
        state.source = ColdSource::Registration;
        state.isAssumed = false;
    } else if (isNewStart && !registration.isFirstListing) {
        state.reportedAt = now;
        state.source = ColdSource::Start;
        state.isAssumed = true;
    }
    return updated(found->first, state, now);
}

ColdChanges ColdBackends::answered(const ColdAnswer &answer, core::TimePoint now)
{
    const auto [found, isUnknown] = m_states.try_emplace(answer.backend);
    auto &state = found->second;
    if (isUnknown) {
        state.service = answer.service;
        state.startedAtMs = answer.startedAtMs;
        state.knownSince = now;
    }
    const bool areStartsKnown = state.startedAtMs > 0 && answer.startedAtMs > 0;
    if ((areStartsKnown && answer.startedAtMs != state.startedAtMs) || answer.sentAt < state.reportedAt) {
        return {};
    }
    state.lastSeen = now;
    state.reportedAt = now;
    state.remaining = answer.remaining;
    state.source = ColdSource::Answer;
    state.isAssumed = false;
    return updated(found->first, state, now);
}

ColdChanges ColdBackends::tick(core::TimePoint now)
{
    ColdChanges changes;
    for (auto &[id, state] : m_states) {
        if (state.coldUntil && now >= *state.coldUntil) {
            update(id, state, ColdSource::Time, now, changes);
        }
    }
    std::erase_if(m_states, [now](const auto &item) {
        return !item.second.coldUntil && now - item.second.lastSeen >= unreportedTimeToLive;
    });
    return changes;
}

ColdChanges ColdBackends::updated(const BackendId &id, State &state, core::TimePoint now)
{
    ColdChanges changes;
    update(id, state, state.source, now, changes);
    return changes;
}

void ColdBackends::update(const BackendId &id, State &state, ColdSource source, core::TimePoint now,
                          ColdChanges &changes)
{
    const auto terms = m_terms.find(state.service);
    const bool isLimited = terms != m_terms.end();
    const auto remaining = state.isAssumed && isLimited ? terms->second.coldTime : state.remaining;
    const auto until = state.reportedAt + remaining;
    const bool isCold = isLimited && now < until;
    const bool wasCold = state.coldUntil.has_value();
    const auto age = now - state.knownSince;
    if (!isCold) {
        state.coldUntil.reset();
        if (wasCold) {
            --m_coldCount;
            changes.emplace_back(BackendWarm{id, source, age, state.revision});
        }
        return;
    }
    const double perSecond = terms->second.perSecond;
    const bool isNew = std::exchange(state.isUnreported, false) || !wasCold;
    if (!isNew && *state.coldUntil == until && state.perSecond == perSecond) {
        return;
    }
    m_coldCount += wasCold ? 0 : 1;
    state.coldUntil = until;
    state.perSecond = perSecond;
    changes.emplace_back(BackendCold{id, state.service, perSecond, until, source, age, state.revision, isNew});
}

} // namespace lycheelanding::decisions::intake

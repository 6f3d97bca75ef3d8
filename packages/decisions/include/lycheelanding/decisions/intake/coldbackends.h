#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/intake/backendintake.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheelanding::decisions::intake {

/// What the configuration says of the backend servers of a service after a start.
struct ColdTerms
{
    /// How long a backend server is cold after a start.
    core::Duration coldTime{};
    /// Requests per second that it tolerates meanwhile; 0 if they are not limited.
    double perSecond = 0.0;

    bool operator==(const ColdTerms &) const = default;
};

enum class ColdSource : std::uint8_t {
    /// A registration states the remaining time.
    Registration,
    /// A new start was registered without a remaining time.
    Start,
    /// An answer states the remaining time.
    Answer,
    /// The remaining time has passed.
    Time,
    /// The configuration has changed.
    Configuration,
};

std::string_view nameOf(ColdSource source);

/// A registration of a backend server, as it was read.
struct ColdRegistration
{
    BackendId backend;
    core::ServiceId service;
    /// Tells its incarnations apart; 0 if not stated.
    std::uint64_t startedAtMs = 0;
    /// Grows with each registration that the incarnation writes.
    std::uint64_t sequence = 0;
    /// Revision at the store, for reports.
    std::uint64_t revision = 0;
    /// nullopt if it states none, or an invalid one.
    std::optional<core::Duration> remaining;
    /// It was read with the first listing of the registry: its backend server may have started long ago.
    bool isFirstListing = false;
};

/// The remaining time that an answer of a backend server states.
struct ColdAnswer
{
    BackendId backend;
    core::ServiceId service;
    std::uint64_t startedAtMs = 0;
    core::Duration remaining{};
    /// When its request was sent.
    core::TimePoint sentAt;
};

/// A backend server is cold until then, or until another time than before.
struct BackendCold
{
    BackendId backend;
    core::ServiceId service;
    double perSecond = 0.0;
    core::TimePoint until;
    ColdSource source = ColdSource::Registration;
    /// How long this entry has known the incarnation.
    core::Duration age{};
    std::uint64_t revision = 0;
    /// False if only `until` or `perSecond` has changed at the same incarnation.
    bool isNew = false;
};
/// A backend server is cold no longer.
struct BackendWarm
{
    BackendId backend;
    ColdSource source = ColdSource::Time;
    core::Duration age{};
    std::uint64_t revision = 0;
};
using ColdChange = std::variant<BackendCold, BackendWarm>;
using ColdChanges = std::vector<ColdChange>;

/// Until when each backend server is cold, by the latest report of its incarnation. Of two registrations the one with
/// the higher sequence is the later one by the backend server's own clock; an answer is later than what was known when
/// its request was sent. Earlier reports change nothing, so that a registration that is read again, as from a store
/// that was restored from a copy, does not make a backend server cold again.
class ColdBackends
{
public:
    /// The services whose backend servers can be cold; those without a limit are not reported.
    ColdChanges setTerms(std::map<core::ServiceId, ColdTerms> terms, core::TimePoint now);
    ColdChanges registered(const ColdRegistration &registration, core::TimePoint now);
    ColdChanges answered(const ColdAnswer &answer, core::TimePoint now);
    ColdChanges tick(core::TimePoint now);

    std::size_t coldCount() const { return m_coldCount; }

private:
    struct State
    {
        core::ServiceId service;
        std::uint64_t startedAtMs = 0;
        std::uint64_t sequence = 0;
        std::uint64_t revision = 0;
        core::TimePoint knownSince;
        core::TimePoint lastSeen;
        /// When the latest report was received.
        core::TimePoint reportedAt;
        core::Duration remaining{};
        ColdSource source = ColdSource::Registration;
        /// The remaining time is not stated: it is that of the service.
        bool isAssumed = false;
        /// Nothing was reported of this incarnation.
        bool isUnreported = true;
        /// What was reported last; nullopt while warm.
        std::optional<core::TimePoint> coldUntil = std::nullopt;
        double perSecond = 0.0;
    };

    /// Appends what has changed at the backend server; `source` is that of the change.
    void update(const BackendId &id, State &state, ColdSource source, core::TimePoint now, ColdChanges &changes);
    ColdChanges updated(const BackendId &id, State &state, core::TimePoint now);

    std::map<core::ServiceId, ColdTerms> m_terms;
    std::map<BackendId, State> m_states;
    std::size_t m_coldCount = 0;
};

/// The remaining time that a text or a registration states in ms; nullopt if it is negative, no number, or over the
/// maximum cold time.
std::optional<core::Duration> coldTimeFrom(double milliseconds);

} // namespace lycheelanding::decisions::intake

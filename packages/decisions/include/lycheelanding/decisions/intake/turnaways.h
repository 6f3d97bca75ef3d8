#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/membership/backenddirectory.h"

#include <cstdint>
#include <map>
#include <optional>

namespace lycheelanding::decisions::intake {

using membership::BackendId;

/// A backend server has turned a request away and wants no further ones of this entry until then.
struct TurnAway
{
    BackendId backend;
    /// Tells its incarnations apart.
    std::uint64_t startedAtMs = 0;
    core::TimePoint until;
};

/// A time in which a backend server wants no requests of this entry.
struct Pause
{
    /// When this entry was first told.
    core::TimePoint toldAt;
    core::TimePoint until;
};

/// The pauses that backend servers have asked for, by incarnation. They are independent of registrations, which may
/// lapse and return meanwhile.
class TurnAways
{
public:
    /// Returns whether this begins a pause.
    bool record(const TurnAway &turnAway, core::TimePoint now);
    /// nullopt if this incarnation has asked for none, or for none that lasts still.
    std::optional<Pause> pauseOf(const BackendId &id, std::uint64_t startedAtMs, core::TimePoint now) const;
    /// Pauses that are kept in memory.
    std::size_t size() const { return m_pauses.size(); }

private:
    struct Entry
    {
        std::uint64_t startedAtMs = 0;
        Pause pause;
    };

    std::map<BackendId, Entry> m_pauses;
};

} // namespace lycheelanding::decisions::intake

#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/random.h"
#include "lycheelanding/decisions/membership/entryposition.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace lycheelanding::decisions::intake {

using membership::EntryPosition;

/// How far the requests sent may exceed a rate for a time. The defaults are those of limits that backend servers state:
/// the users' rule allows half as much again as the rate over 4 s, and 5 requests; what is not used here is for the
/// probes of entries without turns.
struct RateReserve
{
    /// Unused turns of this time may be used later, and the last one at any time.
    core::Duration time = std::chrono::seconds(1);
    /// What all entries together may have in reserve, in seconds of the rate and in requests.
    double maxSeconds = 2.0;
    double maxRequests = 3.0;
    /// An entry that gets turns in place of another one waits until those of the other are no longer counted.
    core::Duration countedTime = std::chrono::seconds(4);

    bool operator==(const RateReserve &) const = default;
};

/// A rate that all entries keep together, each of them its share.
struct SharedRate
{
    /// Of all entries together.
    double perSecond = 0.0;
    EntryPosition position;
    /// Part of the rate that is this entry's.
    double fraction = 1.0;
    RateReserve reserve = {};

    bool operator==(const SharedRate &) const = default;
};

/// One entry's share of a rate as a sequence of turns, each of which allows one request. The entries need no messages
/// between them: they keep the rate also when all of them use their turns, and those that they have in reserve, at
/// once. Where they are too many to have one in reserve each, only the first ones get turns.
class RateShare
{
public:
    explicit RateShare(std::uint64_t seed) : m_random(seed) { }

    void setRate(const SharedRate &rate, core::TimePoint now);
    /// Whether this entry is one of those that get turns.
    bool hasTurns() const { return m_hasTurns; }
    bool allows(core::TimePoint now) const { return m_hasTurns && now >= m_nextTurn; }
    /// Turns from now, those in reserve included, until `until`.
    std::size_t turnsUntil(core::TimePoint until, core::TimePoint now) const;
    /// Time between two turns of this entry; zero if it gets none.
    core::Duration interval() const { return m_hasTurns ? m_interval : core::Duration::zero(); }
    void recordSent(core::TimePoint now);

private:
    /// The next turn, or the first one that is in reserve.
    core::TimePoint firstTurn(core::TimePoint now) const;

    core::RandomSequence m_random;
    SharedRate m_rate;
    bool m_hasTurns = false;
    bool m_isStarted = false;
    /// Time between two turns of this entry.
    core::Duration m_interval{};
    core::TimePoint m_nextTurn;
};

} // namespace lycheelanding::decisions::intake

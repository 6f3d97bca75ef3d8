#pragma once

#include "lycheelanding/core/clock.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace lycheelanding::decisions::membership {

/// Place of an entry among those that run, in an order that all of them share.
struct EntryPosition
{
    /// All entries that run, this one included.
    std::size_t entries = 1;
    /// From 0.
    std::size_t index = 0;

    bool operator==(const EntryPosition &) const = default;
};

/// Finds the position of an entry from what several sides report. A side that has just started, or is cut off from some
/// entries, knows too few of them: of the reports of the last seconds the one with the most entries counts.
class EntryPositionTracker
{
public:
    void reported(const EntryPosition &position, core::TimePoint now)
    {
        const bool isOutdated = !m_position || now - m_reportedAt > reportTimeToLive;
        if (isOutdated || position.entries >= m_position->entries) {
            m_position = position;
            m_reportedAt = now;
        }
    }

    /// nullopt before the first report; later the last known one.
    const std::optional<EntryPosition> &position() const { return m_position; }

private:
    /// A subscription of an entry to a side that has ended expires after the same time.
    static constexpr core::Duration reportTimeToLive = std::chrono::seconds(3);

    std::optional<EntryPosition> m_position;
    core::TimePoint m_reportedAt;
};

} // namespace lycheelanding::decisions::membership

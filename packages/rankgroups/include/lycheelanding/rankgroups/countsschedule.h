#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/random.h"

#include <cstddef>
#include <cstdint>

namespace lycheelanding::rankgroups {

/// When a rank reads its counts and sends them to the leader of its group: every 100 ms, or at the interval at which
/// the counts of all ranks together use half of the leader's link. Ranks do not send in phase.
class CountsSchedule
{
public:
    /// `linkBitsPerSecond` is the rate of the leader's link; 0 if unknown. `seed` differs between ranks.
    CountsSchedule(double linkBitsPerSecond, std::uint64_t seed);

    /// A leader has subscribed to the side of a rank in a group of `groupSize` ranks.
    void leaderSubscribed(std::size_t groupSize, core::TimePoint now);
    bool isDue(core::TimePoint now) const { return now >= m_next; }
    void readStarted(core::TimePoint now);
    /// The counts read last were sent in a message of `messageBytes`, as by each rank of a group of `groupSize` ranks.
    void sent(std::size_t messageBytes, std::size_t groupSize);

private:
    /// Minimum interval at the last known sizes of the group and the message.
    core::Duration interval() const;
    void scheduleNext();

    const double m_linkBitsPerSecond;
    core::RandomSequence m_random;
    std::size_t m_groupSize = 0;
    std::size_t m_messageBytes = 0;
    core::TimePoint m_lastRead;
    core::TimePoint m_next;
};

} // namespace lycheelanding::rankgroups

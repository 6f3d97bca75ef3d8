#include "lycheelanding/rankgroups/countsschedule.h"

#include <algorithm>
#include <chrono>

namespace lycheelanding::rankgroups {

namespace {

constexpr std::chrono::milliseconds minInterval{100};
/// Share of the leader's link that the counts of all ranks may use together; the rest is for the ranks' states, for
/// commands and their answers, and for the traffic of the engine.
constexpr double maxLinkShare = 0.5;
/// Size that is assumed before the first message is sent.
constexpr std::size_t assumedMessageBytes = 4096;
/// Headers of the fragments of a datagram of some thousand bytes.
constexpr std::size_t headerBytes = 100;
constexpr double bitsPerByte = 8.0;
/// A limited interval is extended by a random fraction up to this one, so that ranks that happen to send at the same
/// time do so only once.
constexpr double maxExtension = 0.1;

} // namespace

CountsSchedule::CountsSchedule(double linkBitsPerSecond, std::uint64_t seed)
    : m_linkBitsPerSecond(linkBitsPerSecond), m_random(seed), m_messageBytes(assumedMessageBytes)
{ }

core::Duration CountsSchedule::interval() const
{
    if (m_linkBitsPerSecond <= 0.0 || m_groupSize < 2) {
        return minInterval;
    }
    const auto bytes = static_cast<double>((m_groupSize - 1) * (m_messageBytes + headerBytes));
    const std::chrono::duration<double> limited(bytes * bitsPerByte / (m_linkBitsPerSecond * maxLinkShare));
    return std::max<core::Duration>(minInterval, std::chrono::duration_cast<core::Duration>(limited));
}

void CountsSchedule::leaderSubscribed(std::size_t groupSize, core::TimePoint now)
{
    m_groupSize = groupSize;
    m_next = now + std::chrono::duration_cast<core::Duration>(interval() * m_random.nextUnit());
}

void CountsSchedule::readStarted(core::TimePoint now)
{
    m_lastRead = now;
    scheduleNext();
}

void CountsSchedule::sent(std::size_t messageBytes, std::size_t groupSize)
{
    m_messageBytes = messageBytes;
    m_groupSize = groupSize;
    scheduleNext();
}

void CountsSchedule::scheduleNext()
{
    const auto mean = interval();
    const double extension = mean > minInterval ? maxExtension * m_random.nextUnit() : 0.0;
    m_next = m_lastRead + std::chrono::duration_cast<core::Duration>(mean * (1.0 + extension));
}

} // namespace lycheelanding::rankgroups

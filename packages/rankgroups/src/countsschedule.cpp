#include "lycheelanding/rankgroups/countsschedule.h"

namespace lycheelanding::rankgroups {

namespace {

constexpr std::chrono::milliseconds minInterval{100};

} // namespace

CountsSchedule::CountsSchedule(double linkBitsPerSecond, std::uint64_t seed)
    : m_linkBitsPerSecond(linkBitsPerSecond), m_random(seed)
{ }

void CountsSchedule::leaderSubscribed(std::size_t /*groupSize*/, core::TimePoint now)
{
    m_next = now;
}

void CountsSchedule::readStarted(core::TimePoint now)
{
    m_lastRead = now;
    m_next = now + minInterval;
}

void CountsSchedule::sent(std::size_t /*messageBytes*/, std::size_t /*groupSize*/)
{
    m_next = m_lastRead + minInterval;
}

} // namespace lycheelanding::rankgroups

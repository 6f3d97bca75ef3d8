#include "lycheelanding/rankgroups/countsschedule.h"

#include <chrono>

namespace lycheelanding::rankgroups {

namespace {

/// Time without a step after which counts are read all the same; longer than a step usually takes.
constexpr std::chrono::milliseconds maxStepWait{400};
/// Steps that are shorter than the interval by less than this share are still read one by one.
constexpr double minShareOfInterval = 0.7;

} // namespace

bool CountsSchedule::isDue(core::StepNumber step, core::TimePoint now) const
{
    const auto elapsed = now - m_readAt;
    return elapsed >= minShareOfInterval * m_interval && (step != m_readStep || elapsed >= m_interval + maxStepWait);
}

void CountsSchedule::readStarted(core::StepNumber step, core::TimePoint now)
{
    m_readStep = step;
    m_readAt = now;
}

} // namespace lycheelanding::rankgroups

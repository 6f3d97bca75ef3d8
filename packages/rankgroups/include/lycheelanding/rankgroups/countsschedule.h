#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"

namespace lycheelanding::rankgroups {

/// When a rank reads its counts and sends them: once a step, but no more often than at the interval that the leader
/// asks for. All ranks of a group begin a step together, so that a sum of their counts is one of whole steps.
class CountsSchedule
{
public:
    void setInterval(core::Duration interval) { m_interval = interval; }
    /// `step` is the last step that the rank has begun.
    bool isDue(core::StepNumber step, core::TimePoint now) const;
    void readStarted(core::StepNumber step, core::TimePoint now);

private:
    core::Duration m_interval{0};
    core::StepNumber m_readStep;
    core::TimePoint m_readAt;
};

} // namespace lycheelanding::rankgroups

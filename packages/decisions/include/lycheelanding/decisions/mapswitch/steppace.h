#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/ids.h"

#include <cstdint>
#include <optional>

namespace lycheelanding::decisions::mapswitch {

/// How fast a group steps, from the steps that its ranks report.
class StepPace
{
public:
    /// The last step that has begun, as read at `now`. `earlierReadAt`: when an earlier step was read from the same
    /// rank.
    void stepRead(core::StepNumber step, core::TimePoint earlierReadAt, core::TimePoint now);
    /// How many steps begin before a message that takes `leadTime` arrives, beyond the next one: the first step that
    /// the message can still hold. Empty until the pace is known.
    std::optional<std::uint64_t> stepsWithin(core::Duration leadTime, core::TimePoint now) const;

private:
    core::StepNumber m_step;
    core::TimePoint m_readAt;
    /// Time at which the step had not begun yet.
    core::TimePoint m_beganAfter;
    /// Duration of the last step that has ended.
    std::optional<core::Duration> m_duration;
};

} // namespace lycheelanding::decisions::mapswitch

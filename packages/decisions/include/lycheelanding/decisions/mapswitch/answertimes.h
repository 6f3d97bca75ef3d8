#pragma once

#include "lycheelanding/core/clock.h"

namespace lycheelanding::decisions::mapswitch {

/// Derives the timeout of an answer from the times of earlier answers: their smoothed mean plus four times the smoothed
/// deviation, as TCP does.
class AnswerTimes
{
public:
    void record(core::Duration time);
    /// At least `min`, and at most `max`, so that a few late answers don't delay the repeat of a lost command for long.
    core::Duration timeout(core::Duration min, core::Duration max) const;

private:
    bool m_hasTimes = false;
    core::Duration m_mean{0};
    core::Duration m_deviation{0};
};

} // namespace lycheelanding::decisions::mapswitch

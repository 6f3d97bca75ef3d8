#pragma once

#include "lycheelanding/core/clock.h"

#include <algorithm>
#include <optional>

namespace lycheelanding::report {

/// Arrival times of the chunks of one answer.
class AnswerTimes
{
public:
    /// Returns the interval since the previous chunk; empty for the first one.
    std::optional<core::Duration> recordArrival(core::TimePoint now)
    {
        const auto before = m_last;
        m_last = now;
        if (!before) {
            m_first = now;
            return std::nullopt;
        }
        m_maxInterval = std::max<core::Duration>(m_maxInterval, now - *before);
        return now - *before;
    }

    std::optional<core::TimePoint> first() const { return m_first; }
    std::optional<core::TimePoint> last() const { return m_last; }
    core::Duration maxInterval() const { return m_maxInterval; }

private:
    std::optional<core::TimePoint> m_first;
    std::optional<core::TimePoint> m_last;
    core::Duration m_maxInterval = core::Duration::zero();
};

} // namespace lycheelanding::report

#pragma once

#include "entry/requestmetrics.h"

#include "lycheelanding/core/clock.h"
#include "lycheelanding/report/answertimes.h"

#include <cstdint>
#include <optional>

namespace lycheelanding::daemon::entry {

/// Arrival times of the tokens of one answer.
class TokenTimes
{
public:
    /// Gaps longer than `maxTokenGap` count as slow.
    explicit TokenTimes(std::optional<core::Duration> maxTokenGap) : m_maxTokenGap(maxTokenGap) { }

    /// Returns the time since the previous token; nothing for the first one.
    std::optional<core::Duration> recordToken(core::TimePoint now)
    {
        const auto gap = m_times.recordArrival(now);
        if (gap) {
            ++m_gaps;
            m_slowGaps += m_maxTokenGap && *gap > *m_maxTokenGap ? 1 : 0;
        }
        return gap;
    }

    /// Sets the token statistics of `end`.
    void addTo(RequestEnd &end, core::TimePoint startedAt) const
    {
        end.gaps = m_gaps;
        end.slowGaps = m_slowGaps;
        if (const auto first = m_times.first()) {
            end.firstToken = *first - startedAt;
        }
    }

private:
    std::optional<core::Duration> m_maxTokenGap;
    report::AnswerTimes m_times;
    std::uint32_t m_gaps = 0;
    std::uint32_t m_slowGaps = 0;
};

} // namespace lycheelanding::daemon::entry

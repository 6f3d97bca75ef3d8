#pragma once

#include "entry/requestobserver.h"

#include "lycheelanding/core/clock.h"

#include <cstdint>
#include <optional>

namespace lycheelanding::daemon::entry {

/// When the tokens of one answer came.
class TokenTimes
{
public:
    /// Gaps above the limit count as slow.
    explicit TokenTimes(std::optional<core::Duration> gapLimit) : m_gapLimit(gapLimit) { }

    /// The time since the token before; nothing for the first one.
    std::optional<core::Duration> tokenArrived(core::TimePoint now)
    {
        const auto last = m_lastAt;
        m_lastAt = now;
        if (!last) {
            m_firstAt = now;
            return std::nullopt;
        }
        const core::Duration gap = now - *last;
        ++m_gaps;
        m_slowGaps += m_gapLimit && gap > *m_gapLimit ? 1 : 0;
        return gap;
    }

    void report(RequestEnd &end, core::TimePoint startedAt) const
    {
        end.gaps = m_gaps;
        end.slowGaps = m_slowGaps;
        if (m_firstAt) {
            end.firstToken = *m_firstAt - startedAt;
        }
    }

private:
    std::optional<core::Duration> m_gapLimit;
    std::optional<core::TimePoint> m_firstAt;
    std::optional<core::TimePoint> m_lastAt;
    std::uint32_t m_gaps = 0;
    std::uint32_t m_slowGaps = 0;
};

} // namespace lycheelanding::daemon::entry

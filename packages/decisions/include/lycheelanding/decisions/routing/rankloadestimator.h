#pragma once

#include "lycheelanding/core/clock.h"

#include <cstdint>
#include <deque>

namespace lycheelanding::decisions::routing {

/// Estimates the outstanding work of one rank: the last report, corrected by what this process has sent and
/// seen done since the report was measured. The other entries are taken to do what this one does.
class RankLoadEstimator
{
public:
    void reported(std::uint64_t tokens, core::TimePoint measuredAt);
    void sent(std::uint64_t tokens, core::TimePoint now);
    void done(std::uint64_t tokens, core::TimePoint now);

    std::uint64_t inFlightTokens() const { return m_inFlight; }
    bool hasReport(core::TimePoint now) const;
    core::TimePoint measuredAt() const { return m_measuredAt; }
    /// Outstanding tokens. A report loses its weight with the time constant `timeConstant`, in favour of the own tokens
    /// in flight times `liveEntries`.
    double estimate(std::size_t liveEntries, core::Duration timeConstant, core::TimePoint now) const;

private:
    struct Change
    {
        core::TimePoint at;
        double tokens = 0.0;
    };

    void recordChange(double tokens, core::TimePoint now);

    std::uint64_t m_inFlight = 0;
    double m_reported = 0.0;
    bool m_hasReport = false;
    core::TimePoint m_measuredAt;
    /// Own changes after m_measuredAt, oldest first, and their sum.
    std::deque<Change> m_changes;
    double m_changeSum = 0.0;
};

} // namespace lycheelanding::decisions::routing

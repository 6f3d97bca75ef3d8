#pragma once

#include "lycheelanding/core/clock.h"

#include <cstdint>
#include <deque>

namespace lycheelanding::decisions::routing {

/// Estimates the outstanding work of one rank: the last load report, corrected by the work that this process has sent
/// and seen completed since the measurement. Assumes that the other entries send and complete as much as this one.
class RankLoadEstimator
{
public:
    void reported(std::uint64_t tokens, core::TimePoint measuredAt);
    void sent(std::uint64_t tokens, core::TimePoint now);
    void done(std::uint64_t tokens, core::TimePoint now);

    std::uint64_t inFlightTokens() const { return m_inFlight; }
    /// Whether a recent load report exists.
    bool hasReport(core::TimePoint now) const;
    core::TimePoint measuredAt() const { return m_measuredAt; }
    /// Outstanding tokens. A report loses its weight with `timeConstant`, in favour of the local tokens in flight times
    /// `liveEntries`.
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
    /// Local changes after m_measuredAt, oldest first, and their sum.
    std::deque<Change> m_changes;
    double m_changeSum = 0.0;
};

} // namespace lycheelanding::decisions::routing

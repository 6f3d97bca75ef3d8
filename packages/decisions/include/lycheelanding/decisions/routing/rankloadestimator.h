#pragma once

#include "lycheelanding/core/clock.h"

#include <cstdint>
#include <deque>

namespace lycheelanding::decisions::routing {

/// Estimates the outstanding work of one rank: the last load report, corrected by the work that this process has sent
/// and seen completed since the measurement. The other entries have the same reports, so they are assumed to send as
/// much to this rank as this entry; work is completed independently, so each completion counts once.
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
        double sent = 0.0;
        double done = 0.0;
    };

    void recordChange(double sent, double done, core::TimePoint now);
    void removeOldestChange();

    std::uint64_t m_inFlight = 0;
    double m_reported = 0.0;
    bool m_hasReport = false;
    core::TimePoint m_measuredAt;
    /// Local changes after m_measuredAt, oldest first, and their sums.
    std::deque<Change> m_changes;
    double m_sentSum = 0.0;
    double m_doneSum = 0.0;
};

} // namespace lycheelanding::decisions::routing

#include "lycheelanding/decisions/routing/rankloadestimator.h"

#include <algorithm>
#include <cmath>

namespace lycheelanding::decisions::routing {

namespace {

// Changes within this interval are merged.
constexpr core::Duration changeResolution = std::chrono::milliseconds(20);
// Older reports and changes are ignored; a new report is expected well before.
constexpr core::Duration maxReportAge = std::chrono::seconds(10);

} // namespace

void RankLoadEstimator::reported(std::uint64_t tokens, core::TimePoint measuredAt)
{
    if (m_hasReport && measuredAt < m_measuredAt) {
        return;
    }
    m_hasReport = true;
    m_reported = static_cast<double>(tokens);
    m_measuredAt = measuredAt;
    while (!m_changes.empty() && m_changes.front().at <= measuredAt) {
        removeOldestChange();
    }
}

void RankLoadEstimator::sent(std::uint64_t tokens, core::TimePoint now)
{
    m_inFlight += tokens;
    recordChange(static_cast<double>(tokens), 0.0, now);
}

void RankLoadEstimator::done(std::uint64_t tokens, core::TimePoint now)
{
    const std::uint64_t counted = std::min(tokens, m_inFlight);
    m_inFlight -= counted;
    recordChange(0.0, static_cast<double>(counted), now);
}

bool RankLoadEstimator::hasReport(core::TimePoint now) const
{
    return m_hasReport && now - m_measuredAt <= maxReportAge;
}

double RankLoadEstimator::estimate(std::size_t liveEntries, core::Duration timeConstant, core::TimePoint now) const
{
    const auto local = static_cast<double>(m_inFlight);
    const auto entries = static_cast<double>(std::max<std::size_t>(liveEntries, 1));
    if (!hasReport(now)) {
        return local * entries;
    }
    // A report becomes obsolete as the requests that it counted end, so its weight decays.
    const double age = std::chrono::duration<double>(now - m_measuredAt).count();
    const double weight = std::exp(-std::max(age, 0.0) / std::chrono::duration<double>(timeConstant).count());
    const double corrected = std::max(local, m_reported + entries * m_sentSum - m_doneSum);
    return weight * corrected + (1.0 - weight) * local * entries;
}

void RankLoadEstimator::recordChange(double sent, double done, core::TimePoint now)
{
    m_sentSum += sent;
    m_doneSum += done;
    if (!m_changes.empty() && now - m_changes.back().at < changeResolution) {
        m_changes.back().sent += sent;
        m_changes.back().done += done;
        return;
    }
    m_changes.push_back({now, sent, done});
    while (now - m_changes.front().at > maxReportAge) {
        removeOldestChange();
    }
}

void RankLoadEstimator::removeOldestChange()
{
    m_sentSum -= m_changes.front().sent;
    m_doneSum -= m_changes.front().done;
    m_changes.pop_front();
}

} // namespace lycheelanding::decisions::routing

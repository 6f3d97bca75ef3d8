#include "lycheelanding/rankgroups/countscollector.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace lycheelanding::rankgroups {

namespace {

/// A source that has not reported for this long is not waited for.
constexpr std::chrono::seconds sourceTimeToLive{1};

} // namespace

void CountsCollector::add(const std::string &source, const CountsReport &report, core::TimePoint now)
{
    const bool isSameSum
        = m_startTime && m_sum.generation == report.generation && m_sum.choices.size() == report.counts.size();
    if (!isSameSum) {
        m_firstReportAt.reset();
        m_startTime = m_startTime.value_or(now);
        m_sum = {report.generation, report.step, 0, std::vector<std::uint64_t>(report.counts.size(), 0)};
        m_ended.reset();
        for (auto &item : m_sources) {
            item.second.ranks = 0;
        }
    } else if (report.step > m_sum.step && m_sources[source].ranks > 0) {
        m_ended = takeSum(now);
    }
    m_firstReportAt = m_firstReportAt.value_or(now);
    auto &item = m_sources[source];
    item.lastReport = now;
    item.ranks = std::max(item.ranks, report.ranks);
    m_sum.step = std::max(m_sum.step, report.step);
    for (std::size_t cell = 0; cell < report.counts.size(); ++cell) {
        m_sum.choices[cell] += std::uint64_t{report.counts[cell]} << report.scaleBits;
    }
}

bool CountsCollector::hasEnded(core::TimePoint now) const
{
    std::size_t ranks = 0;
    bool haveAllReported = true;
    for (const auto &[name, source] : m_sources) {
        ranks += source.ranks;
        haveAllReported = haveAllReported && (source.ranks > 0 || now - source.lastReport >= sourceTimeToLive);
    }
    if (!m_firstReportAt) {
        return false;
    }
    const auto waited = now - *m_firstReportAt;
    const bool isComplete = m_settings.ranks > 0 ? ranks >= m_settings.ranks : haveAllReported;
    return waited >= m_settings.maxDuration || (waited >= m_settings.patience && haveAllReported)
        || (now - *m_startTime >= m_settings.minDuration && isComplete);
}

std::optional<SummedChoices> CountsCollector::takeIfEnded(core::TimePoint now)
{
    if (m_ended) {
        return std::exchange(m_ended, std::nullopt);
    }
    return m_startTime && hasEnded(now) ? std::optional(takeSum(now)) : std::nullopt;
}

SummedChoices CountsCollector::takeSum(core::TimePoint now)
{
    auto result
        = std::exchange(m_sum, {m_sum.generation, m_sum.step, 0, std::vector<std::uint64_t>(m_sum.choices.size(), 0)});
    for (const auto &item : m_sources) {
        result.ranks += item.second.ranks;
    }
    std::erase_if(m_sources, [now](const auto &item) { return now - item.second.lastReport >= sourceTimeToLive; });
    for (auto &item : m_sources) {
        item.second.ranks = 0;
    }
    m_startTime = now;
    m_firstReportAt.reset();
    return result;
}

} // namespace lycheelanding::rankgroups

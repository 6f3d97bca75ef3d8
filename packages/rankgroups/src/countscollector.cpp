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
    if (!m_startTime || m_sum.generation != report.generation || m_sum.choices.size() != report.counts.size()) {
        // A sum lasts from the end of the one before, so that its duration does not depend on when its sources report.
        m_startTime = m_startTime.value_or(now);
        m_sum = {report.generation, 0, std::vector<std::uint64_t>(report.counts.size(), 0)};
        for (auto &item : m_sources) {
            item.second.ranks = 0;
        }
    }
    auto &item = m_sources[source];
    item.lastReport = now;
    item.ranks = std::max(item.ranks, report.ranks);
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
    const auto duration = now - *m_startTime;
    const bool isComplete = m_settings.ranks > 0 ? ranks >= m_settings.ranks : haveAllReported;
    return ranks > 0
        && (duration >= m_settings.maxDuration || (duration >= m_settings.patience && haveAllReported)
            || (duration >= m_settings.minDuration && isComplete));
}

std::optional<SummedChoices> CountsCollector::takeIfEnded(core::TimePoint now)
{
    if (!m_startTime || !hasEnded(now)) {
        return std::nullopt;
    }
    auto result = std::exchange(m_sum, {m_sum.generation, 0, std::vector<std::uint64_t>(m_sum.choices.size(), 0)});
    for (const auto &item : m_sources) {
        result.ranks += item.second.ranks;
    }
    std::erase_if(m_sources, [now](const auto &item) { return now - item.second.lastReport >= sourceTimeToLive; });
    for (auto &item : m_sources) {
        item.second.ranks = 0;
    }
    m_startTime = now;
    return result;
}

} // namespace lycheelanding::rankgroups

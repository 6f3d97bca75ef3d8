#include "lycheelanding/report/burntracker.h"

#include <algorithm>

namespace lycheelanding::report {

namespace {

constexpr std::array<std::size_t, burnWindowCount> ringStarts{0, 5, 17, 29};

} // namespace

void BurnTracker::setObjectives(const std::vector<configuration::Objective> &objectives)
{
    const std::lock_guard lock(m_mutex);
    m_objectives = ObjectiveTable(objectives);
    std::erase_if(m_series, [&](const auto &item) { return m_objectives.find(item.first) == nullptr; });
}

void BurnTracker::record(const BurnObservation &observation, core::TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const auto *objective = m_objectives.find(observation.key);
    const bool hasCapacity = m_series.size() < maxSeries || m_series.contains(observation.key);
    if (objective == nullptr || !hasCapacity) {
        return;
    }
    auto &series = m_series[observation.key];
    advanceRings(series, now);
    add(series, Indicator::Availability, {observation.succeeded ? 0U : 1U, 1});
    if (observation.firstToken) {
        const bool isLate = *observation.firstToken > std::chrono::milliseconds(objective->firstTokenMs);
        add(series, Indicator::FirstToken, {isLate ? 1U : 0U, 1});
    }
    add(series, Indicator::BetweenTokens, {observation.slowGaps, observation.gaps});
}

std::optional<BurnThresholds> BurnTracker::thresholds(const BurnKey &key) const
{
    const std::lock_guard lock(m_mutex);
    const auto *objective = m_objectives.find(key);
    if (objective == nullptr) {
        return std::nullopt;
    }
    return BurnThresholds{std::chrono::milliseconds(objective->firstTokenMs),
                          std::chrono::milliseconds(objective->betweenTokensMs)};
}

BurnCounts BurnTracker::counts(core::TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    BurnCounts counts;
    for (const auto &[key, series] : m_series) {
        const auto indicators = sums(series, now);
        const auto &all = indicators[static_cast<std::size_t>(Indicator::Availability)];
        if (all[static_cast<std::size_t>(BurnWindow::SlowLong)].total > 0) {
            counts.series[key] = indicators;
        }
    }
    return counts;
}

std::size_t BurnTracker::seriesCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_series.size();
}

std::uint32_t BurnTracker::bucketNumber(std::size_t window, core::TimePoint now)
{
    const auto length = lengthOf(static_cast<BurnWindow>(window)) / bucketCounts[window];
    return static_cast<std::uint32_t>(now.time_since_epoch() / length);
}

void BurnTracker::advanceRings(Series &series, core::TimePoint now)
{
    for (std::size_t window = 0; window < burnWindowCount; ++window) {
        const auto number = bucketNumber(window, now);
        if (number <= series.newest[window]) {
            // The times that threads pass may be slightly older than the newest one.
            continue;
        }
        const auto passed = std::min<std::size_t>(number - series.newest[window], bucketCounts[window]);
        for (std::size_t step = 0; step < passed; ++step) {
            const auto slot = ringStarts[window] + (number - step) % bucketCounts[window];
            for (auto &indicator : series.buckets) {
                indicator[slot] = {};
            }
        }
        series.newest[window] = number;
    }
}

void BurnTracker::add(Series &series, Indicator indicator, Bucket amount)
{
    for (std::size_t window = 0; window < burnWindowCount; ++window) {
        const auto slot = ringStarts[window] + series.newest[window] % bucketCounts[window];
        auto &bucket = series.buckets[static_cast<std::size_t>(indicator)][slot];
        bucket.bad += amount.bad;
        bucket.total += amount.total;
    }
}

IndicatorCounts BurnTracker::sums(const Series &series, core::TimePoint now)
{
    auto current = series;
    advanceRings(current, now);
    IndicatorCounts sums{};
    for (std::size_t indicator = 0; indicator < indicatorCount; ++indicator) {
        for (std::size_t window = 0; window < burnWindowCount; ++window) {
            for (std::size_t bucket = 0; bucket < bucketCounts[window]; ++bucket) {
                const auto &added = current.buckets[indicator][ringStarts[window] + bucket];
                sums[indicator][window].bad += added.bad;
                sums[indicator][window].total += added.total;
            }
        }
    }
    return sums;
}

} // namespace lycheelanding::report

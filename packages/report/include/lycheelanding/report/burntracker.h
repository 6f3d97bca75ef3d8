#pragma once

#include "lycheelanding/configuration/configurationdocument.h"
#include "lycheelanding/core/clock.h"
#include "lycheelanding/report/burncounts.h"
#include "lycheelanding/report/objectivetable.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace lycheelanding::report {

/// Outcome and latencies of one request. Refusals for which the caller is responsible, such as those of malformed
/// requests or for an organisation's limit, are not recorded.
struct BurnObservation
{
    BurnKey key;
    bool succeeded = true;
    /// Time to first token; unset if there was no token, and for plain services.
    std::optional<core::Duration> firstToken;
    /// Number of intervals between tokens, and how many of them were longer than BurnThresholds::betweenTokens.
    std::uint32_t gaps = 0;
    std::uint32_t slowGaps = 0;
};

/// Latency limits that an objective sets for a single answer.
struct BurnThresholds
{
    core::Duration firstToken{};
    core::Duration betweenTokens{};
};

/// Counts good and bad events of one entry in ring buckets, one ring per window.
/// Thread-safe; no other lock is acquired while its lock is held.
class BurnTracker
{
public:
    /// Buckets of the ring of each window: 5 of 1 min, 12 of 5 min, 12 of 30 min and 24 of 3 h.
    static constexpr std::array<std::size_t, burnWindowCount> bucketCounts{5, 12, 12, 24};
    /// Maximum number of series; requests that belong to further series are not counted.
    static constexpr std::size_t maxSeries = 20'000;

    void setObjectives(const std::vector<configuration::Objective> &objectives);
    /// Has no effect if there is no objective for the key.
    void record(const BurnObservation &observation, core::TimePoint now);

    std::optional<BurnThresholds> thresholds(const BurnKey &key) const;
    /// Counts of all series that have events in the longest window.
    BurnCounts counts(core::TimePoint now) const;
    std::size_t seriesCount() const;

private:
    struct Bucket
    {
        std::uint32_t bad = 0;
        std::uint32_t total = 0;
    };

    static constexpr std::size_t bucketsPerIndicator = 5 + 12 + 12 + 24;

    struct Series
    {
        /// For each indicator, the rings of all windows, one after the other.
        std::array<std::array<Bucket, bucketsPerIndicator>, indicatorCount> buckets{};
        /// For each window, the number of the newest bucket, counted from the clock's epoch.
        std::array<std::uint32_t, burnWindowCount> newest{};
    };

    static std::uint32_t bucketNumber(std::size_t window, core::TimePoint now);
    static void advanceRings(Series &series, core::TimePoint now);
    static void add(Series &series, Indicator indicator, Bucket amount);
    static IndicatorCounts sums(const Series &series, core::TimePoint now);

    mutable std::mutex m_mutex;
    ObjectiveTable m_objectives;
    std::map<BurnKey, Series> m_series;
};

} // namespace lycheelanding::report

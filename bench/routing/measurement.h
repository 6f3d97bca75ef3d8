#pragma once

#include "lycheelanding/core/clock.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace lycheelanding::bench::routing {

/// Counts durations in steps of 0.1 ms up to 10 s.
class DurationHistogram
{
public:
    void add(core::Duration duration);
    /// Milliseconds; 0 when nothing was counted.
    double percentile(double fraction) const;

private:
    static constexpr std::size_t bucketsPerMs = 10;
    std::vector<std::uint32_t> m_buckets = std::vector<std::uint32_t>(bucketsPerMs * 10000 + 1);
    std::uint64_t m_count = 0;
};

/// What one run of one policy under one scenario counted within the measured time.
struct Measurement
{
    core::TimePoint from;
    core::TimePoint until;

    bool isWithin(core::TimePoint time) const { return time >= from && time < until; }

    std::uint64_t offered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    /// Answers within the measured time that met their deadline.
    std::uint64_t answeredInTime = 0;
    std::uint64_t retries = 0;
    /// Of admitted requests; one that never got its first token counts with its time until it was given up on, or
    /// with the whole time to its deadline when it failed.
    DurationHistogram timeToFirstToken;
    /// The same of every organisation but the flooding one.
    DurationHistogram timeToFirstTokenOfOthers;
    std::uint64_t offeredByOthers = 0;
    std::uint64_t refusedToOthers = 0;
    DurationHistogram timeBetweenTokens;
    std::uint64_t prefixLookups = 0;
    std::uint64_t prefixHits = 0;
    double imbalanceSum = 0.0;
    std::uint64_t imbalanceSamples = 0;
};

/// One line of the table.
struct Row
{
    std::string scenario;
    std::string policy;
    double goodputPerSecond = 0.0;
    double firstTokenP50Ms = 0.0;
    double firstTokenP95Ms = 0.0;
    double firstTokenP99Ms = 0.0;
    double betweenTokensP95Ms = 0.0;
    double prefixHitShare = 0.0;
    double rankImbalance = 0.0;
    double retriesPerRequest = 0.0;
    double refusedShare = 0.0;
    /// Goodput per second that no policy can exceed; 0 where it was not worked out.
    double ideal = 0.0;
    /// Only for the flood.
    double calmFirstTokenP99Ms = 0.0;
    /// Refusals to the organisations that do not flood, over their requests.
    double othersRefusedShare = 0.0;
};

Row rowOf(const Measurement &measurement, core::Duration measurementDuration);

std::string tableOf(const std::vector<Row> &rows);
std::string jsonOf(const std::vector<Row> &rows);

} // namespace lycheelanding::bench::routing

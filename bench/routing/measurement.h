#pragma once

#include "lycheelanding/core/clock.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace lycheelanding::bench::routing {

/// Histogram of durations with buckets of 0.1 ms up to 10 s; the last bucket also counts longer durations.
class DurationHistogram
{
public:
    void add(core::Duration duration);
    /// In milliseconds, for a `fraction` between 0 and 1; 0 if the histogram is empty.
    double percentile(double fraction) const;

private:
    static constexpr std::size_t bucketsPerMs = 10;
    std::vector<std::uint32_t> m_buckets = std::vector<std::uint32_t>(bucketsPerMs * 10000 + 1);
    std::uint64_t m_count = 0;
};

/// Counters of one run of a policy in a scenario. Unless stated otherwise, they cover the requests that arrive in the
/// measurement interval from `from` until `until`.
struct Measurement
{
    core::TimePoint from;
    core::TimePoint until;

    bool isWithin(core::TimePoint time) const { return time >= from && time < until; }

    std::uint64_t offered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    /// Answers sent within the measurement interval and before their deadline, whenever their request arrived.
    std::uint64_t answeredInTime = 0;
    std::uint64_t retries = 0;
    /// Of admitted requests. A request that fails or times out before its first token counts with the whole time to its
    /// deadline.
    DurationHistogram timeToFirstToken;
    /// The same without the requests of organisation 0, which sends the flood.
    DurationHistogram timeToFirstTokenOfOthers;
    std::uint64_t offeredByOthers = 0;
    std::uint64_t refusedToOthers = 0;
    DurationHistogram timeBetweenTokens;
    /// Of the whole run, warm-up included.
    std::uint64_t prefixLookups = 0;
    std::uint64_t prefixHits = 0;
    /// Sum of the samples of FakeCluster::imbalance(), and number of those above 0.
    double imbalanceSum = 0.0;
    std::uint64_t imbalanceSamples = 0;
};

/// Results of one policy in one scenario. In the flood scenario, the time to first token is that of the organisations
/// that do not send the flood.
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
    /// Upper bound of the goodput of any policy, per second; 0 if it was not computed.
    double ideal = 0.0;
    /// Time to first token without the flood; only set in the flood scenario.
    double calmFirstTokenP99Ms = 0.0;
    /// Refused fraction of the requests of the organisations that do not send the flood.
    double othersRefusedShare = 0.0;
};

Row rowOf(const Measurement &measurement, core::Duration measurementDuration);

std::string tableOf(const std::vector<Row> &rows);
std::string jsonOf(const std::vector<Row> &rows);

} // namespace lycheelanding::bench::routing

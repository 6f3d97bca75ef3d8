#include "measurement.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>

namespace lycheelanding::bench::routing {

namespace {

double ratio(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

nlohmann::ordered_json nullIfZero(double value)
{
    return value > 0.0 ? nlohmann::ordered_json(value) : nlohmann::ordered_json();
}

} // namespace

void DurationHistogram::add(core::Duration duration)
{
    const double ms = std::chrono::duration<double, std::milli>(duration).count();
    const auto bucket = static_cast<std::size_t>(std::max(0.0, ms * bucketsPerMs));
    ++m_buckets[std::min(bucket, m_buckets.size() - 1)];
    ++m_count;
}

double DurationHistogram::percentile(double fraction) const
{
    const double targetCount = fraction * static_cast<double>(m_count);
    double cumulativeCount = 0.0;
    for (std::size_t bucket = 0; bucket < m_buckets.size(); ++bucket) {
        cumulativeCount += m_buckets[bucket];
        if (cumulativeCount >= targetCount && m_count > 0) {
            return static_cast<double>(bucket + 1) / bucketsPerMs;
        }
    }
    return 0.0;
}

Row rowOf(const Measurement &measurement, core::Duration measurementDuration)
{
    Row row;
    row.goodputPerSecond
        = static_cast<double>(measurement.answeredInTime) / std::chrono::duration<double>(measurementDuration).count();
    row.firstTokenP50Ms = measurement.timeToFirstToken.percentile(0.5);
    row.firstTokenP95Ms = measurement.timeToFirstToken.percentile(0.95);
    row.firstTokenP99Ms = measurement.timeToFirstToken.percentile(0.99);
    row.betweenTokensP95Ms = measurement.timeBetweenTokens.percentile(0.95);
    row.prefixHitShare = ratio(measurement.prefixHits, measurement.prefixLookups);
    if (measurement.imbalanceSamples > 0) {
        row.rankImbalance = measurement.imbalanceSum / static_cast<double>(measurement.imbalanceSamples);
    }
    row.retriesPerRequest = ratio(measurement.retries, measurement.offered);
    row.refusedShare = ratio(measurement.refused, measurement.offered);
    row.othersRefusedShare = ratio(measurement.refusedToOthers, measurement.offeredByOthers);
    return row;
}

std::string tableOf(const std::vector<Row> &rows)
{
    std::string text = "scenario      policy         goodput/s   ideal  p50 ms  p95 ms  p99 ms  gap95  hits  imbal  "
                       "retries refused calmP99 othersRefused\n";
    std::array<char, 256> line{};
    for (const auto &row : rows) {
        std::snprintf(line.data(), line.size(),
                      "%-13s %-13s %10.1f %7.1f %7.1f %7.1f %7.1f %6.1f %5.2f %6.2f %8.4f %7.4f %7.1f %13.4f\n",
                      row.scenario.c_str(), row.policy.c_str(), row.goodputPerSecond, row.ideal, row.firstTokenP50Ms,
                      row.firstTokenP95Ms, row.firstTokenP99Ms, row.betweenTokensP95Ms, row.prefixHitShare,
                      row.rankImbalance, row.retriesPerRequest, row.refusedShare, row.calmFirstTokenP99Ms,
                      row.othersRefusedShare);
        text += line.data();
    }
    return text;
}

std::string jsonOf(const std::vector<Row> &rows)
{
    auto array = nlohmann::ordered_json::array();
    for (const auto &row : rows) {
        nlohmann::ordered_json item{
            {"scenario", row.scenario},
            {"policy", row.policy},
            {"goodputPerSecond", row.goodputPerSecond},
            {"firstTokenP50Ms", row.firstTokenP50Ms},
            {"firstTokenP95Ms", row.firstTokenP95Ms},
            {"firstTokenP99Ms", row.firstTokenP99Ms},
            {"betweenTokensP95Ms", row.betweenTokensP95Ms},
            {"prefixHitShare", row.prefixHitShare},
            {"rankImbalance", row.rankImbalance},
            {"retriesPerRequest", row.retriesPerRequest},
            {"refusedShare", row.refusedShare},
            {"ideal", nullIfZero(row.ideal)},
        };
        if (row.calmFirstTokenP99Ms > 0.0) {
            item["calmFirstTokenP99Ms"] = row.calmFirstTokenP99Ms;
        }
        array.push_back(std::move(item));
    }
    return array.dump(2) + "\n";
}

} // namespace lycheelanding::bench::routing

#include "lycheelanding/report/latencysummary.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <optional>

namespace lycheelanding::report {

namespace {

namespace accumulators = boost::accumulators;

using Accumulator = accumulators::accumulator_set<
    double, accumulators::stats<accumulators::tag::count, accumulators::tag::extended_p_square>>;

constexpr core::Duration windowLength = std::chrono::minutes(1);

/// Minimum number of values for an estimate, since the accumulator needs a value for each of its markers.
constexpr std::size_t minSamples = 2 * latencyQuantiles.size() + 3;

Accumulator newAccumulator()
{
    return Accumulator(accumulators::tag::extended_p_square::probabilities = latencyQuantiles);
}

} // namespace

class LatencySummary::Private
{
public:
    /// The window to estimate from: the previous one while it is recent and holds enough values, else the current one.
    /// Null if that one holds too few values too.
    const Accumulator *estimatingWindow(core::TimePoint now) const
    {
        if (now - windowStart >= 2 * windowLength) {
            return nullptr;
        }
        const bool isPreviousFresh
            = previous && accumulators::count(*previous) >= minSamples && now - windowStart < windowLength;
        if (isPreviousFresh) {
            return &*previous;
        }
        return accumulators::count(current) >= minSamples ? &current : nullptr;
    }

    void advanceWindow(core::TimePoint now)
    {
        if (now - windowStart < windowLength) {
            return;
        }
        const bool isAdjacent = now - windowStart < 2 * windowLength;
        previous = isAdjacent ? std::optional(current) : std::nullopt;
        current = newAccumulator();
        windowStart = now;
    }

    std::uint64_t count = 0;
    core::Duration sum{};
    core::TimePoint windowStart;
    Accumulator current = newAccumulator();
    std::optional<Accumulator> previous;
};

LatencySummary::LatencySummary() : m_d(std::make_unique<Private>()) { }
LatencySummary::~LatencySummary() = default;
LatencySummary::LatencySummary(LatencySummary &&) noexcept = default;
LatencySummary &LatencySummary::operator=(LatencySummary &&) noexcept = default;

void LatencySummary::record(core::Duration duration, core::TimePoint now)
{
    m_d->advanceWindow(now);
    ++m_d->count;
    m_d->sum += duration;
    m_d->current(static_cast<double>(duration.count()));
}

LatencyStatistics LatencySummary::statistics(core::TimePoint now) const
{
    LatencyStatistics statistics{m_d->count, m_d->sum, {}};
    if (const auto *window = m_d->estimatingWindow(now)) {
        for (std::size_t index = 0; index < latencyQuantiles.size(); ++index) {
            const auto estimate = accumulators::extended_p_square(*window)[index];
            statistics.quantiles[index] = core::Duration(static_cast<core::Duration::rep>(estimate));
        }
    }
    return statistics;
}

} // namespace lycheelanding::report

#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/rankgroups/rankreport.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheelanding::rankgroups {

/// Choices that the requests of some ranks have made since the sender's last report. A lost report is not made up for:
/// what matters is the distribution of the choices.
struct CountsReport
{
    core::Generation generation;
    /// Number of ranks that the sum is of.
    std::uint32_t ranks = 1;
    /// The unit of the counts is 2 to the power of this many choices.
    std::uint8_t scaleBits = 0;
    ChoiceCounts counts;
};

/// Choices that the requests of some ranks have made in some time.
struct SummedChoices
{
    core::Generation generation;
    std::uint32_t ranks = 0;
    /// By layer and expert.
    std::vector<std::uint64_t> choices;
};

/// Largest unit of a report.
constexpr std::uint8_t maxScaleBits = 31;

struct CollectorSettings
{
    /// Ranks of which a complete sum is; 0 if it is complete with the reports of all known sources.
    std::size_t ranks = 0;
    core::Duration minDuration{0};
    /// Time after which a sum need not be complete: it ends with the reports of all known sources.
    core::Duration patience{0};
    /// Time after which a sum ends in any case.
    core::Duration maxDuration{0};
};

/// Adds up the reports of several sources.
class CountsCollector
{
public:
    explicit CountsCollector(const CollectorSettings &settings) : m_settings(settings) { }

    /// A report of another generation than the sum starts the sum again.
    void add(const std::string &source, const CountsReport &report, core::TimePoint now);
    /// The sum once it has ended; the next report starts a new one.
    std::optional<SummedChoices> takeIfEnded(core::TimePoint now);

private:
    struct Source
    {
        core::TimePoint lastReport;
        /// Ranks in the source's reports to the current sum; 0 without one.
        std::uint32_t ranks = 0;
    };

    bool hasEnded(core::TimePoint now) const;

    const CollectorSettings m_settings;
    SummedChoices m_sum;
    std::optional<core::TimePoint> m_startTime;
    std::map<std::string, Source> m_sources;
};

} // namespace lycheelanding::rankgroups

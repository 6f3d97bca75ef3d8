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
    /// The last step that the ranks had begun.
    core::StepNumber step;
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
    /// The last step of which choices are in the sum.
    core::StepNumber step;
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
    /// Minimum time between the ends of two sums.
    core::Duration minDuration{0};
    /// Time after the first report of a sum from which on it need not be complete: it ends with the reports of all
    /// known sources.
    core::Duration patience{0};
    /// Time after the first report of a sum at which it ends in any case.
    core::Duration maxDuration{0};
};

/// Adds up the reports of several sources, step by step: reports of a later step end a sum, so that choices before a
/// shift of the demand and after it are in different ones.
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
    /// Ends the sum, and starts the next one.
    SummedChoices takeSum(core::TimePoint now);

    const CollectorSettings m_settings;
    SummedChoices m_sum;
    /// A sum that a report of a later step has ended.
    std::optional<SummedChoices> m_ended;
    /// End of the sum before, or the first report of all.
    std::optional<core::TimePoint> m_startTime;
    /// First report of the sum.
    std::optional<core::TimePoint> m_firstReportAt;
    std::map<std::string, Source> m_sources;
};

} // namespace lycheelanding::rankgroups

#pragma once

#include "lycheelanding/configuration/configurationdocument.h"
#include "lycheelanding/report/burncounts.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace lycheelanding::report {

enum class AlertState : std::uint8_t {
    None,
    /// The error budget is used up slowly, yet before the end of its period: needs attention within the day.
    Slow,
    /// Error budget for days is used up within hours: needs immediate action.
    Fast,
};

std::string_view nameOf(AlertState state);

/// An alert is raised if both windows of a pair have at least this burn rate. A rate of 1 uses up the error budget
/// exactly within its period; 14.4 uses up 2 % of a budget of 30 days in an hour.
inline constexpr double fastBurnThreshold = 14.4;
inline constexpr double slowBurnThreshold = 1.0;
/// No alert is raised for fewer bad events than this in the longer window.
inline constexpr std::uint64_t minBadEvents = 3;

struct BurnRow
{
    BurnKey key;
    Indicator indicator = Indicator::Availability;
    /// Fraction of the events that must be good.
    double target = 0;
    WindowCounts counts;
    /// Fraction of bad events divided by the fraction that the target allows, per window; 0 without events.
    std::array<double, burnWindowCount> burnRates{};
    AlertState alert = AlertState::None;
};

/// An entry whose counts are missing from a report.
struct UnreachedEntry
{
    std::string entry;
    std::string reason;
};

/// Burn rates over all reached entries; rows are sorted by alert and burn rate, the worst first.
struct BurnReport
{
    std::vector<BurnRow> rows;
    std::size_t entriesReached = 0;
    std::vector<UnreachedEntry> unreached;
};

BurnReport makeBurnReport(const std::vector<configuration::Objective> &objectives,
                          const std::vector<BurnCounts> &countsOfEntries, std::vector<UnreachedEntry> unreached);

/// Plain text table with one line per row.
std::string burnTable(const BurnReport &report);
std::string burnJson(const BurnReport &report);
/// Self-contained HTML page with an inline SVG chart; loads nothing over the network.
std::string burnPage(const BurnReport &report);

} // namespace lycheelanding::report

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
    /// The budget burns slowly, yet faster than it is given: see to it within the day.
    Slow,
    /// The budget of days burns within hours: act at once.
    Fast,
};

std::string_view nameOf(AlertState state);

/// Burn rates from which on both windows of a pair raise an alert. 1 uses up the budget exactly within its period;
/// 14.4 uses up 2 % of a budget of 30 days in an hour.
inline constexpr double fastBurnThreshold = 14.4;
inline constexpr double slowBurnThreshold = 1.0;
/// Fewer bad events than this in the longer window raise no alert.
inline constexpr std::uint64_t minBadEvents = 3;

struct BurnRow
{
    BurnKey key;
    Indicator indicator = Indicator::Availability;
    /// Part of the events that must be good.
    double target = 0;
    WindowCounts counts;
    /// Part of bad events over the part that the target allows, per window; 0 without events.
    std::array<double, burnWindowCount> burnRates{};
    AlertState alert = AlertState::None;
};

/// An entry whose counts are missing from a report.
struct UnreachedEntry
{
    std::string entry;
    std::string reason;
};

/// Burn over all entries that were reached; rows with the worst alert and highest rates first.
struct BurnReport
{
    std::vector<BurnRow> rows;
    std::size_t entriesReached = 0;
    std::vector<UnreachedEntry> unreached;
};

BurnReport makeBurnReport(const std::vector<configuration::Objective> &objectives,
                          const std::vector<BurnCounts> &countsOfEntries, std::vector<UnreachedEntry> unreached);

/// Plain text in columns, one line for each row.
std::string burnTable(const BurnReport &report);
std::string burnJson(const BurnReport &report);
/// A page of its own with an inline SVG chart; needs no network.
std::string burnPage(const BurnReport &report);

} // namespace lycheelanding::report

#include "lycheelanding/report/burnreport.h"

#include "lycheelanding/core/nametable.h"
#include "lycheelanding/report/objectivetable.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace lycheelanding::report {

namespace {

constexpr std::array<core::NameEntry<AlertState>, 3> alertNames{{
    {AlertState::None, "none"},
    {AlertState::Slow, "slow"},
    {AlertState::Fast, "fast"},
}};

double targetOf(const configuration::Objective &objective, Indicator indicator)
{
    switch (indicator) {
    case Indicator::Availability:
        return objective.availability;
    case Indicator::FirstToken:
        return objective.firstTokenTarget;
    case Indicator::BetweenTokens:
        return objective.betweenTokensTarget;
    }
    return 0;
}

double burnRate(const BurnCount &count, double target)
{
    if (count.total == 0) {
        return 0;
    }
    return static_cast<double>(count.bad) / static_cast<double>(count.total) / (1 - target);
}

bool isBurning(const BurnRow &row, BurnWindow shortWindow, BurnWindow longWindow, double threshold)
{
    const auto shortIndex = static_cast<std::size_t>(shortWindow);
    const auto longIndex = static_cast<std::size_t>(longWindow);
    return row.burnRates[shortIndex] >= threshold && row.burnRates[longIndex] >= threshold
        && row.counts[longIndex].bad >= minBadEvents;
}

AlertState alertOf(const BurnRow &row)
{
    if (isBurning(row, BurnWindow::FastShort, BurnWindow::FastLong, fastBurnThreshold)) {
        return AlertState::Fast;
    }
    if (isBurning(row, BurnWindow::SlowShort, BurnWindow::SlowLong, slowBurnThreshold)) {
        return AlertState::Slow;
    }
    return AlertState::None;
}

BurnRow rowOf(const BurnKey &key, Indicator indicator, double target, const WindowCounts &counts)
{
    BurnRow row{key, indicator, target, counts, {}, AlertState::None};
    for (std::size_t window = 0; window < burnWindowCount; ++window) {
        row.burnRates[window] = burnRate(counts[window], target);
    }
    row.alert = alertOf(row);
    return row;
}

bool isWorse(const BurnRow &left, const BurnRow &right)
{
    const auto severity = [](const BurnRow &row) {
        return std::tuple(row.alert, row.burnRates[static_cast<std::size_t>(BurnWindow::FastLong)],
                          row.burnRates[static_cast<std::size_t>(BurnWindow::SlowLong)]);
    };
    return severity(left) > severity(right);
}

} // namespace

std::string_view nameOf(AlertState state)
{
    return core::nameIn(alertNames, state);
}

BurnReport makeBurnReport(const std::vector<configuration::Objective> &objectives,
                          const std::vector<BurnCounts> &countsOfEntries, std::vector<UnreachedEntry> unreached)
{
    BurnCounts all;
    for (const auto &counts : countsOfEntries) {
        merge(all, counts);
    }
    const ObjectiveTable table(objectives);
    BurnReport report{{}, countsOfEntries.size(), std::move(unreached)};
    for (const auto &[key, indicators] : all.series) {
        const auto *objective = table.find(key);
        for (std::size_t index = 0; objective != nullptr && index < indicatorCount; ++index) {
            const auto indicator = static_cast<Indicator>(index);
            if (indicators[index][static_cast<std::size_t>(BurnWindow::SlowLong)].total > 0) {
                report.rows.push_back(rowOf(key, indicator, targetOf(*objective, indicator), indicators[index]));
            }
        }
    }
    std::stable_sort(report.rows.begin(), report.rows.end(), isWorse);
    return report;
}

std::string burnTable(const BurnReport &report)
{
    std::string text = fmt::format("{:<24} {:<20} {:<14} {:>9} {:>8} {:>8} {:>8} {:>8}  {}\n", "TARGET", "ORGANISATION",
                                   "INDICATOR", "OBJECTIVE", "5M", "1H", "6H", "3D", "ALERT");
    for (const auto &row : report.rows) {
        const auto target = fmt::format("{} {}", nameOf(row.key.kind), row.key.target);
        fmt::format_to(std::back_inserter(text),
                       "{:<24} {:<20} {:<14} {:>8.3f}% {:>8.2f} {:>8.2f} {:>8.2f} {:>8.2f}  {}\n", target,
                       row.key.organisation.text(), nameOf(row.indicator), 100 * row.target, row.burnRates[0],
                       row.burnRates[1], row.burnRates[2], row.burnRates[3], nameOf(row.alert));
    }
    fmt::format_to(std::back_inserter(text), "burn rate 1.00 uses up the error budget exactly; {} entries counted\n",
                   report.entriesReached);
    for (const auto &entry : report.unreached) {
        fmt::format_to(std::back_inserter(text), "not counted: {}: {}\n", entry.entry, entry.reason);
    }
    return text;
}

std::string burnJson(const BurnReport &report)
{
    auto rows = nlohmann::json::array();
    for (const auto &row : report.rows) {
        nlohmann::json windows;
        for (std::size_t index = 0; index < burnWindowCount; ++index) {
            windows[std::string(nameOf(static_cast<BurnWindow>(index)))] = {
                {"bad", row.counts[index].bad}, {"total", row.counts[index].total}, {"burnRate", row.burnRates[index]}};
        }
        rows.push_back({{nameOf(row.key.kind), row.key.target},
                        {"organisation", row.key.organisation.text()},
                        {"indicator", nameOf(row.indicator)},
                        {"objective", row.target},
                        {"windows", windows},
                        {"alert", nameOf(row.alert)}});
    }
    auto unreached = nlohmann::json::array();
    for (const auto &entry : report.unreached) {
        unreached.push_back({{"entry", entry.entry}, {"reason", entry.reason}});
    }
    return nlohmann::json{{"rows", rows}, {"entriesReached", report.entriesReached}, {"unreached", unreached}}.dump(2);
}

} // namespace lycheelanding::report

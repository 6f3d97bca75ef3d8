#include "lycheelanding/report/burnreport.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace lycheelanding::report {

namespace {

constexpr int labelWidth = 420;
constexpr int chartWidth = 420;
constexpr int barHeight = 5;
constexpr int rowHeight = 4 * barHeight + 8;
/// Exponents of the logarithmic axis, which ranges from a burn rate of 0.01 to 1000.
constexpr double minExponent = -2;
constexpr double maxExponent = 3;
/// Maximum number of rows in the chart; the table has all rows.
constexpr std::size_t maxChartRows = 60;

constexpr std::array<std::string_view, burnWindowCount> windowColours{"#b22222", "#e08a3c", "#3c78b4", "#1b3a5c"};

std::string escaped(std::string_view text)
{
    std::string result;
    for (const char character : text) {
        switch (character) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += character;
        }
    }
    return result;
}

double positionOf(double burnRate)
{
    if (burnRate <= 0) {
        return 0;
    }
    const double exponent = std::clamp(std::log10(burnRate), minExponent, maxExponent);
    return chartWidth * (exponent - minExponent) / (maxExponent - minExponent);
}

void appendAxis(std::string &page, std::size_t rows)
{
    for (const double burnRate : {0.01, 0.1, slowBurnThreshold, fastBurnThreshold, 100.0, 1000.0}) {
        const double x = labelWidth + positionOf(burnRate);
        fmt::format_to(std::back_inserter(page),
                       "<line x1=\"{0:.1f}\" y1=\"18\" x2=\"{0:.1f}\" y2=\"{1}\" stroke=\"#ccc\"/>"
                       "<text x=\"{0:.1f}\" y=\"12\" text-anchor=\"middle\">{2}</text>\n",
                       x, 20 + rows * rowHeight, burnRate);
    }
}

void appendBars(std::string &page, const BurnRow &row, std::size_t index)
{
    const auto top = 20 + index * rowHeight;
    fmt::format_to(std::back_inserter(page), "<text x=\"0\" y=\"{}\">{} {} · {} · {}</text>\n", top + rowHeight / 2,
                   nameOf(row.key.kind), escaped(row.key.target), escaped(row.key.organisation.text()),
                   nameOf(row.indicator));
    for (std::size_t window = 0; window < burnWindowCount; ++window) {
        fmt::format_to(
            std::back_inserter(page),
            "<rect x=\"{}\" y=\"{}\" width=\"{:.1f}\" height=\"{}\" fill=\"{}\"><title>{}: {:.2f}</title></rect>\n",
            labelWidth, top + 4 + window * barHeight, positionOf(row.burnRates[window]), barHeight - 1,
            windowColours[window], nameOf(static_cast<BurnWindow>(window)), row.burnRates[window]);
    }
}

void appendChart(std::string &page, const BurnReport &report)
{
    const auto rows = std::min(report.rows.size(), maxChartRows);
    fmt::format_to(std::back_inserter(page), "<svg width=\"{}\" height=\"{}\" font-size=\"11\">\n",
                   labelWidth + chartWidth + 40, 30 + rows * rowHeight);
    appendAxis(page, rows);
    for (std::size_t index = 0; index < rows; ++index) {
        appendBars(page, report.rows[index], index);
    }
    page += "</svg>\n";
}

void appendTable(std::string &page, const BurnReport &report)
{
    page += "<table><tr><th>target</th><th>organisation</th><th>indicator</th><th>objective</th>";
    for (std::size_t window = 0; window < burnWindowCount; ++window) {
        fmt::format_to(std::back_inserter(page), "<th style=\"color:{}\">{}</th>", windowColours[window],
                       nameOf(static_cast<BurnWindow>(window)));
    }
    page += "<th>alert</th></tr>\n";
    for (const auto &row : report.rows) {
        fmt::format_to(std::back_inserter(page),
                       "<tr class=\"{}\"><td>{} {}</td><td>{}</td><td>{}</td><td>{:.3f} %</td>", nameOf(row.alert),
                       nameOf(row.key.kind), escaped(row.key.target), escaped(row.key.organisation.text()),
                       nameOf(row.indicator), 100 * row.target);
        for (std::size_t window = 0; window < burnWindowCount; ++window) {
            fmt::format_to(std::back_inserter(page), "<td title=\"{} of {}\">{:.2f}</td>", row.counts[window].bad,
                           row.counts[window].total, row.burnRates[window]);
        }
        fmt::format_to(std::back_inserter(page), "<td>{}</td></tr>\n", nameOf(row.alert));
    }
    page += "</table>\n";
}

void appendUnreached(std::string &page, const BurnReport &report)
{
    fmt::format_to(std::back_inserter(page), "<p>{} entries counted.</p>\n", report.entriesReached);
    for (const auto &entry : report.unreached) {
        fmt::format_to(std::back_inserter(page), "<p class=\"fast\">Not counted: {}: {}</p>\n", escaped(entry.entry),
                       escaped(entry.reason));
    }
}

} // namespace

std::string burnPage(const BurnReport &report)
{
    std::string page
        = "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title>"
          "<style>body{font-family:sans-serif;margin:2em}td,th{padding:2px 10px;text-align:right}"
          "td:first-child,th:first-child{text-align:left}.fast{background:#f6cccc}.slow{background:#fbe8cc}"
          "</style></head><body>\n<h1>Service-level burn</h1>\n"
          "<p>A burn rate of 1 uses up the error budget exactly. Fast alert: 5m and 1h at 14.4 or more; "
          "slow alert: 6h and 3d at 1 or more.</p>\n";
    appendUnreached(page, report);
    appendChart(page, report);
    appendTable(page, report);
    page += "</body></html>\n";
    return page;
}

} // namespace lycheelanding::report

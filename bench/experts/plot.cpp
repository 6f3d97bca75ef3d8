#include "plot.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <ostream>
#include <string>
#include <string_view>

namespace lycheelanding::bench::experts {

namespace {

constexpr int panelWidth = 460;
constexpr int panelHeight = 200;
constexpr int margin = 50;
constexpr int columns = 2;

/// Approximate number of points of a line; each is the mean skew of several consecutive steps.
constexpr std::size_t pointsPerLine = 160;

constexpr std::array<std::string_view, 8> colours{"#888888", "#d62728", "#1f77b4", "#2ca02c",
                                                  "#9467bd", "#ff7f0e", "#8c564b", "#17becf"};

std::vector<double> pointsOf(const RunResult &result)
{
    std::vector<double> points;
    const std::size_t stepsPerPoint = std::max<std::size_t>(1, result.skews.size() / pointsPerLine);
    for (std::size_t firstStep = 0; firstStep + stepsPerPoint <= result.skews.size(); firstStep += stepsPerPoint) {
        const auto first = result.skews.begin() + static_cast<std::ptrdiff_t>(firstStep);
        const double sum = std::accumulate(first, first + static_cast<std::ptrdiff_t>(stepsPerPoint), 0.0);
        points.push_back(sum / static_cast<double>(stepsPerPoint));
    }
    return points;
}

/// Results of one scenario and the position of their panel.
struct Panel
{
    std::vector<const RunResult *> lines;
    int left = 0;
    int top = 0;
    double maxSkew = lowerBound;
};

std::vector<Panel> panelsOf(const std::vector<RunResult> &results)
{
    std::vector<Panel> panels;
    for (const auto &result : results) {
        if (panels.empty() || panels.back().lines.front()->scenario != result.scenario) {
            const int index = static_cast<int>(panels.size());
            panels.emplace_back();
            panels.back().left = margin + (index % columns) * (panelWidth + margin);
            panels.back().top = margin + (index / columns) * (panelHeight + margin);
        }
        auto &panel = panels.back();
        panel.lines.push_back(&result);
        const auto points = pointsOf(result);
        panel.maxSkew = std::max(panel.maxSkew, *std::max_element(points.begin(), points.end()));
    }
    return panels;
}

void writeText(std::ostream &out, int x, int y, std::string_view text, std::string_view anchor)
{
    out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor << "\">" << text << "</text>\n";
}

void writeLine(std::ostream &out, const Panel &panel, const RunResult &result, std::string_view colour)
{
    const auto points = pointsOf(result);
    out << "<polyline fill=\"none\" stroke=\"" << colour << "\" stroke-width=\"1.2\" points=\"";
    for (std::size_t index = 0; index < points.size(); ++index) {
        const double x = panel.left
            + panelWidth * static_cast<double>(index) / static_cast<double>(std::max<std::size_t>(1, points.size()));
        const double relativeHeight = (points[index] - lowerBound) / (panel.maxSkew - lowerBound);
        out << static_cast<int>(x) << ',' << panel.top + panelHeight - static_cast<int>(panelHeight * relativeHeight)
            << ' ';
    }
    out << "\"/>\n";
}

void writePanel(std::ostream &out, const Panel &panel)
{
    out << "<rect x=\"" << panel.left << "\" y=\"" << panel.top << "\" width=\"" << panelWidth << "\" height=\""
        << panelHeight << "\" fill=\"none\" stroke=\"#444444\"/>\n";
    writeText(out, panel.left, panel.top - 6, panel.lines.front()->scenario, "start");
    writeText(out, panel.left - 4, panel.top + panelHeight, "1.0", "end");
    writeText(out, panel.left - 4, panel.top + 10, std::to_string(panel.maxSkew).substr(0, 4), "end");
    for (std::size_t index = 0; index < panel.lines.size(); ++index) {
        writeLine(out, panel, *panel.lines[index], colours[index % colours.size()]);
    }
}

void writeLegend(std::ostream &out, const Panel &panel)
{
    constexpr int width = 110;
    for (std::size_t index = 0; index < panel.lines.size(); ++index) {
        out << "<g fill=\"" << colours[index % colours.size()] << "\">";
        writeText(out, margin + static_cast<int>(index) * width, 20, panel.lines[index]->policy, "start");
        out << "</g>\n";
    }
}

} // namespace

void writePlot(std::ostream &out, const std::vector<RunResult> &results)
{
    const auto panels = panelsOf(results);
    const int rows = static_cast<int>((panels.size() + columns - 1) / columns);
    const int width = margin + columns * (panelWidth + margin);
    const int height = margin + rows * (panelHeight + margin);
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << height
        << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    if (!panels.empty()) {
        writeLegend(out, panels.front());
    }
    for (const auto &panel : panels) {
        writePanel(out, panel);
    }
    writeText(out, width / 2, height - 12, "Step-time skew (slowest rank over mean) over the day", "middle");
    out << "</svg>\n";
}

} // namespace lycheelanding::bench::experts

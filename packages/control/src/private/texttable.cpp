#include "private/texttable.h"

#include <algorithm>

namespace lycheelanding::control {

namespace {

constexpr std::size_t columnGap = 2;

std::vector<std::size_t> columnWidths(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    return widths;
}

} // namespace

std::string textTable(const std::vector<std::vector<std::string>> &rows)
{
    const auto widths = columnWidths(rows);
    std::string text;
    for (const auto &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            text += row[column];
            if (column + 1 < row.size()) {
                text.append(widths[column] - row[column].size() + columnGap, ' ');
            }
        }
        text += '\n';
    }
    return text;
}

} // namespace lycheelanding::control

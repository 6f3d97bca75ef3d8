#include "guaranteereport.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <sstream>

namespace lycheelanding::bench::guarantees {

namespace {

constexpr double millisecondsPerSecond = 1000.0;

double recoverySeconds(const GuaranteeRow &row)
{
    return static_cast<double>(row.result.maxRecoveryTime.count()) / millisecondsPerSecond;
}

} // namespace

std::string tableOf(const std::vector<GuaranteeRow> &rows)
{
    std::ostringstream text;
    text << "guarantee                        runs  requests  faults  violations  longest recovery\n";
    for (const auto &row : rows) {
        text << row.guarantee << " " << std::left << std::setw(30) << row.title << std::right << std::setw(5)
             << row.runs << std::setw(10) << row.result.requests << std::setw(8) << row.result.faults << std::setw(12)
             << row.result.violations.size() << std::setw(16) << std::fixed << std::setprecision(2)
             << recoverySeconds(row) << " s\n";
        for (const auto &violation : row.result.violations) {
            text << "    " << violation << "\n";
        }
    }
    return text.str();
}

std::string jsonOf(const std::vector<GuaranteeRow> &rows)
{
    auto array = nlohmann::json::array();
    for (const auto &row : rows) {
        array.push_back({{"promise", row.guarantee},
                         {"runs", row.runs},
                         {"requests", row.result.requests},
                         {"faults", row.result.faults},
                         {"violations", row.result.violations.size()},
                         {"longestRecoverySeconds", recoverySeconds(row)}});
    }
    return array.dump(2);
}

} // namespace lycheelanding::bench::guarantees

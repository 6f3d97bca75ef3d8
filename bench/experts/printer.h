#pragma once

#include "runresult.h"

#include <iosfwd>
#include <vector>

namespace lycheelanding::bench::experts {

/// Prints a table with one row for each scenario and policy.
void printTable(std::ostream &out, const std::vector<RunResult> &results);

/// Prints a JSON array with one object for each scenario and policy.
void printJson(std::ostream &out, const std::vector<RunResult> &results);

} // namespace lycheelanding::bench::experts

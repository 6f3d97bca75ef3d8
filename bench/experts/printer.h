#pragma once

#include "runresult.h"

#include <iosfwd>
#include <vector>

namespace lycheelanding::bench::experts {

/// One line for each scenario and policy.
void printTable(std::ostream &out, const std::vector<RunResult> &results);

/// One array with one object for each scenario and policy.
void printJson(std::ostream &out, const std::vector<RunResult> &results);

} // namespace lycheelanding::bench::experts

#pragma once

#include "runresult.h"

#include <iosfwd>
#include <vector>

namespace lycheelanding::bench::experts {

/// Writes an SVG plot of the skew over the day, with one panel for each scenario and one line for each policy.
void writePlot(std::ostream &out, const std::vector<RunResult> &results);

} // namespace lycheelanding::bench::experts

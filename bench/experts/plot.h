#pragma once

#include "runresult.h"

#include <iosfwd>
#include <vector>

namespace lycheelanding::bench::experts {

/// Skew over the day, one panel for each scenario and one line for each policy, as SVG.
void writePlot(std::ostream &out, const std::vector<RunResult> &results);

} // namespace lycheelanding::bench::experts

#pragma once

#include "guaranteerunner.h"

#include <string>
#include <vector>

namespace lycheelanding::bench::guarantees {

/// Text table, with the violations below each row.
std::string tableOf(const std::vector<GuaranteeRow> &rows);
/// JSON array with one object for each row.
std::string jsonOf(const std::vector<GuaranteeRow> &rows);

} // namespace lycheelanding::bench::guarantees

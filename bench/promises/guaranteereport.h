#pragma once

#include "guaranteerunner.h"

#include <string>
#include <vector>

namespace lycheelanding::bench::guarantees {

/// A table for people, and one array of rows for programs.
std::string tableOf(const std::vector<GuaranteeRow> &rows);
std::string jsonOf(const std::vector<GuaranteeRow> &rows);

} // namespace lycheelanding::bench::guarantees

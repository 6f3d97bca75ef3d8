#pragma once

#include <string>
#include <vector>

namespace lycheelanding::control {

/// Left-aligned columns, each as wide as its widest cell; the first row holds the headings.
std::string textTable(const std::vector<std::vector<std::string>> &rows);

} // namespace lycheelanding::control

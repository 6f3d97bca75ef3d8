#pragma once

#include <string_view>

namespace lycheelanding::configuration {

/// The JSON schema (draft 7) of the document, with units, defaults and bounds. It does not allow unknown keys.
std::string_view configurationSchema();

} // namespace lycheelanding::configuration

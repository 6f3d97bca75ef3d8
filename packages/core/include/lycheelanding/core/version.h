#pragma once

#include <string_view>

namespace lycheelanding::core {

/// Version of all programs of the project.
inline constexpr std::string_view versionText = LYCHEELANDING_VERSION;

} // namespace lycheelanding::core

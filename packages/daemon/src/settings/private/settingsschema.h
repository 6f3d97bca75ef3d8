#pragma once

#include <string_view>

namespace lycheelanding::daemon::settings {

/// JSON schemas of the settings files, one for each role.
std::string_view entrySettingsSchema();
std::string_view sideSettingsSchema();

} // namespace lycheelanding::daemon::settings

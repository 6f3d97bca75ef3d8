#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

/// Structured logs: one JSON object per line on standard error. Only state changes are logged, not single requests.
namespace lycheelanding::daemon::logging {

enum class Level : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

struct LogField
{
    std::string name;
    std::string value;
};

/// Sets up log4cxx. `minLevel` is one of its level names; `vm` is added to each line.
void startLogging(const std::string &minLevel, const std::string &vm);

/// Writes one line; the fields become members of its "context_map" object.
void logChange(Level level, std::string_view message, std::initializer_list<LogField> fields = {});

} // namespace lycheelanding::daemon::logging

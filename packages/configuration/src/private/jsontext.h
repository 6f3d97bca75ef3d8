#pragma once

#include "lycheelanding/core/result.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace lycheelanding::configuration {

/// An error whose detail is "<JSON pointer>: <reason>"; the empty pointer is written as "/".
core::Error errorAtPointer(core::ErrorKind kind, std::string_view pointer, std::string_view reason);

/// Fails with `kind` and the line and column of the first syntax error.
core::Result<nlohmann::json> parseJson(std::string_view text, core::ErrorKind kind);

/// The message of a library exception without its leading "[json.exception...]" tag.
std::string messageWithoutTag(std::string_view exceptionText);

} // namespace lycheelanding::configuration

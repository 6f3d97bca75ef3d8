#pragma once

#include "lycheelanding/core/errorkind.h"

#include <string_view>

namespace lycheelanding::http {

/// The refusal for a parser error as http_parser names it, such as "HPE_CB_body".
core::ErrorKind parserErrorKind(std::string_view error);

} // namespace lycheelanding::http

#pragma once

#include "lycheelanding/core/errorkind.h"

#include <string_view>

namespace lycheelanding::http {

/// The error kind with which a request is refused for a parser error. `error` is the name that http_parser gives it,
/// such as "HPE_CB_body".
core::ErrorKind parserErrorKind(std::string_view error);

} // namespace lycheelanding::http

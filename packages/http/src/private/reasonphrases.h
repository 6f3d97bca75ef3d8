#pragma once

#include <string_view>

namespace lycheelanding::http {

/// The reason phrase of a status code (RFC 9110), or "Other" for a code that the servers do not use.
std::string_view reasonPhrase(int status);

} // namespace lycheelanding::http

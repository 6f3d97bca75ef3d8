#pragma once

#include "lycheelanding/http/httpmessages.h"

#include <string>
#include <string_view>

namespace lycheelanding::http {

/// Fields that concern one connection or frame a body: each connection writes its own.
bool isFramingHeader(std::string_view name);
void appendHeaderLine(std::string &text, std::string_view name, std::string_view value);
/// All fields but those that frame the body.
void appendHeaderLines(std::string &text, const HttpHeaders &headers);

} // namespace lycheelanding::http

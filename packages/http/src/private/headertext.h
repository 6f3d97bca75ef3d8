#pragma once

#include "lycheelanding/http/httpmessages.h"

#include <string>
#include <string_view>

namespace lycheelanding::http {

/// Whether a field applies to a single connection or frames the body. Such fields are not copied from one message to
/// another; each connection writes them itself.
bool isFramingHeader(std::string_view name);
void appendHeaderLine(std::string &text, std::string_view name, std::string_view value);
/// Appends all fields except the framing headers.
void appendHeaderLines(std::string &text, const HttpHeaders &headers);

} // namespace lycheelanding::http

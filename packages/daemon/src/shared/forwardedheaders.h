#pragma once

#include "lycheelanding/http/httpmessages.h"

#include <cstdint>

namespace lycheelanding::daemon::shared {

/// Removes the fields that are not forwarded: hop-by-hop fields and those that describe the framing of one message
/// (RFC 9110, 7.6.1).
http::HttpHeaders forwardedHeaders(const http::HttpHeaders &headers);

/// Sets the urgency `u=N` of RFC 9218 in the field Priority and keeps the other parameters of that field.
http::HttpHeaders withUrgency(const http::HttpHeaders &headers, std::uint8_t urgency);

} // namespace lycheelanding::daemon::shared

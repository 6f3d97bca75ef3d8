#pragma once

#include "lycheelanding/core/result.h"
#include "lycheelanding/http/httpmessages.h"

#include <cstdint>
#include <string>

namespace lycheelanding::daemon::side {

/// A complete answer of a backend server, kept for callers that repeat a non-idempotent request.
struct BackendAnswer
{
    std::uint16_t status = 0;
    http::HttpHeaders headers;
    std::string body;
};

std::string encodeAnswer(const BackendAnswer &answer);
/// Fails with Internal when `text` is not an encoded answer.
core::Result<BackendAnswer> decodeAnswer(const std::string &text);

} // namespace lycheelanding::daemon::side

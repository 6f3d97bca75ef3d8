#pragma once

#include "lycheelanding/http/httpserver.h"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace lycheelanding::standins::common {

using Json = nlohmann::json;

http::HttpResponse jsonAnswer(int status, const Json &body);
void respondJson(const http::HttpExchangePointer &exchange, int status, const Json &body);
void respondNotFound(const http::HttpExchangePointer &exchange);
/// The request's body; an empty object when it has none. Throws Json::exception when it cannot be read.
Json parseJsonBody(const http::HttpExchangePointer &exchange);
/// The part of `path` after `prefix`; nothing when it begins otherwise.
std::optional<std::string> pathAfterPrefix(std::string_view path, std::string_view prefix);
/// Throws std::exception when the parameter is no number.
std::optional<std::uint64_t> numericQueryParameter(const http::HttpRequest &request, std::string_view name);

/// Calls `action` on the io_context after `delay`.
void callAfter(asio::io_context &context, std::chrono::milliseconds delay, std::function<void()> action);

} // namespace lycheelanding::standins::common

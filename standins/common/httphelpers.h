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
/// Parses the request's body; an empty body yields an empty object. Throws Json::exception when it is not JSON.
Json parseJsonBody(const http::HttpExchangePointer &exchange);
/// The part of `path` after `prefix`; nullopt when `path` does not start with it.
std::optional<std::string> pathAfterPrefix(std::string_view path, std::string_view prefix);
/// An unsigned query parameter, nullopt when absent. Throws std::exception when it is not a number.
std::optional<std::uint64_t> numericQueryParameter(const http::HttpRequest &request, std::string_view name);

/// Calls `action` once on the io_context after `delay`.
void callAfter(asio::io_context &context, std::chrono::milliseconds delay, std::function<void()> action);

} // namespace lycheelanding::standins::common

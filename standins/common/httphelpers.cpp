#include "common/httphelpers.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace lycheelanding::standins::common {

http::HttpResponse jsonAnswer(int status, const Json &body)
{
    return http::jsonResponse(status, body.dump());
}

void respondJson(const http::HttpExchangePointer &exchange, int status, const Json &body)
{
    exchange->respond(jsonAnswer(status, body));
}

void respondNotFound(const http::HttpExchangePointer &exchange)
{
    respondJson(exchange, 404, {{"error", "unknown path or method: " + exchange->request().target}});
}

Json parseJsonBody(const http::HttpExchangePointer &exchange)
{
    const std::string &body = exchange->request().body;
    return body.empty() ? Json::object() : Json::parse(body);
}

std::optional<std::string> pathAfterPrefix(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix)) {
        return std::nullopt;
    }
    return std::string(path.substr(prefix.size()));
}

std::optional<std::uint64_t> numericQueryParameter(const http::HttpRequest &request, std::string_view name)
{
    const auto text = request.queryParameter(name);
    if (!text) {
        return std::nullopt;
    }
    return std::stoull(*text);
}

void callAfter(asio::io_context &context, std::chrono::milliseconds delay, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(context, delay);
    timer->async_wait([timer, action = std::move(action)](const asio::error_code &error) {
        if (!error) {
            action();
        }
    });
}

} // namespace lycheelanding::standins::common

#include "plain/plainservice.h"

#include <chrono>

namespace lycheelanding::standins::plain {

using common::CallKind;

PlainService::PlainService(asio::io_context &context, const Json &) : m_faultInjector(context) { }

void PlainService::handle(const http::HttpExchangePointer &exchange)
{
    const http::HttpRequest &request = exchange->request();
    const auto path = request.path();
    if (path == "/control" && request.method == "POST") {
        m_faultInjector.configure(common::parseJsonBody(exchange));
        common::respondJson(exchange, 200, Json::object());
        return;
    }
    if (path == "/journal") {
        common::respondJson(exchange, 200, journal());
        return;
    }
    if (const auto operation = common::pathAfterPrefix(path, "/run/"); operation && request.method == "POST") {
        run(exchange, *operation);
        return;
    }
    if (const auto operation = common::pathAfterPrefix(path, "/status/"); operation && request.method == "GET") {
        m_faultInjector.answer(exchange, CallKind::Read,
                               [this, operation] { return common::jsonAnswer(200, status(*operation)); });
        return;
    }
    common::respondNotFound(exchange);
}

void PlainService::run(const http::HttpExchangePointer &exchange, const std::string &operation)
{
    const std::chrono::milliseconds delay(common::numericQueryParameter(exchange->request(), "delayMs").value_or(0));
    // The run is recorded before the delay, so it counts even when the caller disconnects during the delay.
    const auto handler
        = [this, exchange, operation] { return common::jsonAnswer(200, record(exchange->request(), operation)); };
    m_faultInjector.answer(exchange, CallKind::Write, handler, delay);
}

Json PlainService::record(const http::HttpRequest &request, const std::string &operation)
{
    const std::lock_guard lock(m_mutex);
    m_runs.push_back({request.headers.find("Idempotency-Key").value_or(""), operation, request.method,
                      std::string(request.path()), request.body});
    const std::uint64_t count = ++m_counts[operation];
    return {{"operation", operation}, {"count", count}, {"runs", m_runs.size()}};
}

Json PlainService::status(const std::string &operation) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_counts.find(operation);
    return {{"operation", operation}, {"count", found == m_counts.end() ? 0 : found->second}};
}

Json PlainService::journal() const
{
    const std::lock_guard lock(m_mutex);
    Json runs = Json::array();
    for (const auto &run : m_runs) {
        runs.push_back({{"key", run.idempotencyKey},
                        {"operation", run.operation},
                        {"method", run.method},
                        {"path", run.path},
                        {"body", run.body}});
    }
    return {{"runs", runs}};
}

} // namespace lycheelanding::standins::plain

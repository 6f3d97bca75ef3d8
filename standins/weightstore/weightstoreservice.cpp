#include "weightstore/weightstoreservice.h"

#include <algorithm>
#include <chrono>

namespace lycheelanding::standins::weightstore {

namespace {

constexpr double defaultBytesPerSecond = 100e6;
constexpr std::uint64_t defaultExpertBytes = 1'000'000;

} // namespace

WeightStoreService::WeightStoreService(asio::io_context &context, const Json &settings)
    : m_faultInjector(context), m_bytesPerSecond(settings.value("bytesPerSecond", defaultBytesPerSecond)),
      m_expertBytes(settings.value("expertBytes", defaultExpertBytes))
{ }

void WeightStoreService::handle(const http::HttpExchangePointer &exchange)
{
    const http::HttpRequest &request = exchange->request();
    if (request.path().starts_with("/weights/") && request.method == "GET") {
        const auto handler = [this] { return common::jsonAnswer(200, {{"bytes", m_expertBytes}}); };
        m_faultInjector.answer(exchange, common::CallKind::Read, handler, reserveTransfer());
    } else if (request.path() == "/control/stats") {
        common::respondJson(exchange, 200, stats());
    } else if (request.path() == "/control" && request.method == "POST") {
        m_faultInjector.configure(common::parseJsonBody(exchange));
        common::respondJson(exchange, 200, Json::object());
    } else {
        common::respondNotFound(exchange);
    }
}

std::chrono::milliseconds WeightStoreService::reserveTransfer()
{
    const std::lock_guard lock(m_mutex);
    ++m_requests;
    const std::chrono::duration<double> transfer(static_cast<double>(m_expertBytes) / m_bytesPerSecond);
    const core::TimePoint now = core::SystemClock().now();
    m_busyUntil = std::max(m_busyUntil, now) + std::chrono::duration_cast<core::Duration>(transfer);
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_busyUntil - now);
}

Json WeightStoreService::stats() const
{
    const std::lock_guard lock(m_mutex);
    return {{"requests", m_requests}, {"bytesServed", m_requests * m_expertBytes}};
}

} // namespace lycheelanding::standins::weightstore

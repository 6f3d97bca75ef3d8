#include "faultproxy/faultproxyservice.h"

#include <asio/post.hpp>

#include <iostream>
#include <string>

namespace lycheelanding::standins::faultproxy {

FaultProxyService::FaultProxyService(asio::io_context &context, const Json &settings)
    : m_strand(asio::make_strand(context))
{
    for (const auto &entry : settings.value("proxies", Json::array())) {
        const Proxy &proxy
            = m_proxies.emplace_back(m_strand, entry.value("name", std::string("proxy")),
                                     entry.value("listen", std::uint16_t(0)), entry.at("target").get<std::string>());
        std::cout << "proxy " << proxy.name() << " 127.0.0.1:" << proxy.port() << std::endl;
    }
}

void FaultProxyService::handle(const http::HttpExchangePointer &exchange)
{
    const http::HttpRequest &request = exchange->request();
    if (request.path() == "/control" && request.method == "POST") {
        handleControl(exchange);
    } else if (request.path() == "/proxies") {
        asio::post(m_strand, [this, exchange] { common::respondJson(exchange, 200, report()); });
    } else {
        common::respondNotFound(exchange);
    }
}

void FaultProxyService::handleControl(const http::HttpExchangePointer &exchange)
{
    const Json body = common::parseJsonBody(exchange);
    const ProxySetting setting = proxySettingFrom(body);
    const std::string name = body.value("name", std::string());
    asio::post(m_strand, [this, exchange, setting, name] {
        bool found = false;
        for (auto &proxy : m_proxies) {
            if (name.empty() || proxy.name() == name) {
                proxy.applySetting(setting);
                found = true;
            }
        }
        common::respondJson(exchange, found ? 200 : 404, report());
    });
}

Json FaultProxyService::report() const
{
    Json proxies = Json::array();
    for (const auto &proxy : m_proxies) {
        proxies.push_back(proxy.report());
    }
    return {{"proxies", proxies}};
}

} // namespace lycheelanding::standins::faultproxy

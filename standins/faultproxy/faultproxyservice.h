#pragma once

#include "faultproxy/proxy.h"
#include "lycheelanding/http/httpserver.h"

#include <asio/io_context.hpp>
#include <asio/strand.hpp>

#include <list>

namespace lycheelanding::standins::faultproxy {

/// Several proxies with a common control interface.
class FaultProxyService
{
public:
    /// Settings: {"proxies": [{"name", "listen", "target"}]}; prints "proxy NAME 127.0.0.1:PORT" for each.
    FaultProxyService(asio::io_context &context, const Json &settings);

    void handle(const http::HttpExchangePointer &exchange);

private:
    void handleControl(const http::HttpExchangePointer &exchange);
    Json report() const;

    asio::strand<asio::io_context::executor_type> m_strand;
    /// Accessed only on the strand.
    std::list<Proxy> m_proxies;
};

} // namespace lycheelanding::standins::faultproxy

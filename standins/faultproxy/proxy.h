#pragma once

#include "faultproxy/forwarder.h"

#include <asio/any_io_executor.hpp>
#include <asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <vector>

namespace lycheelanding::standins::faultproxy {

/// A client connection and the connection to the target that the proxy opens for it.
class ProxyConnection : public std::enable_shared_from_this<ProxyConnection>
{
public:
    ProxyConnection(asio::ip::tcp::socket client, const ProxySetting &setting);

    void start(const asio::ip::tcp::endpoint &target);
    void applySetting();
    void close();
    bool isClosed() const { return m_closed; }

private:
    void recordDirectionEnd();

    asio::ip::tcp::socket m_client;
    asio::ip::tcp::socket m_target;
    const ProxySetting &m_setting;
    Forwarder m_toTarget;
    Forwarder m_toClient;
    int m_endedDirections = 0;
    bool m_connected = false;
    bool m_closed = false;
};

/// A listening port and its target. All functions run on the given executor, a strand.
class Proxy
{
public:
    /// Throws std::system_error when the port is in use.
    Proxy(asio::any_io_executor executor, std::string name, std::uint16_t listenPort, const std::string &target);

    void applySetting(const ProxySetting &setting);
    const std::string &name() const { return m_name; }
    std::uint16_t port() const { return m_listenEndpoint.port(); }
    Json report() const;

private:
    void listen();
    void accept();

    const asio::any_io_executor m_executor;
    const std::string m_name;
    asio::ip::tcp::endpoint m_listenEndpoint;
    asio::ip::tcp::endpoint m_target;
    asio::ip::tcp::acceptor m_acceptor;
    ProxySetting m_setting;
    std::vector<std::shared_ptr<ProxyConnection>> m_connections;
};

} // namespace lycheelanding::standins::faultproxy

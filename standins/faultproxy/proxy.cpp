#include "faultproxy/proxy.h"

#include <stdexcept>
#include <utility>

namespace lycheelanding::standins::faultproxy {

namespace {

asio::ip::tcp::endpoint endpointFrom(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("not in the form IP:PORT: " + text);
    }
    return {asio::ip::make_address(text.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

void closeSocket(asio::ip::tcp::socket &socket, bool withReset)
{
    asio::error_code ignored;
    if (withReset) {
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    socket.close(ignored);
}

} // namespace

ProxyConnection::ProxyConnection(asio::ip::tcp::socket client, const ProxySetting &setting)
    : m_client(std::move(client)), m_target(m_client.get_executor()), m_setting(setting),
      m_toTarget(Direction::ToTarget, m_client, m_target, setting),
      m_toClient(Direction::ToClient, m_target, m_client, setting)
{ }

void ProxyConnection::start(const asio::ip::tcp::endpoint &target)
{
    m_target.async_connect(target, [self = shared_from_this()](const asio::error_code &error) {
        if (error || self->m_closed) {
            self->close();
            return;
        }
        asio::error_code ignored;
        self->m_client.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->m_target.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->m_connected = true;
        const std::weak_ptr<ProxyConnection> weak = self;
        const auto onEnd = [weak] { weak.lock()->recordDirectionEnd(); };
        const auto onFailure = [weak] { weak.lock()->close(); };
        self->m_toTarget.start(weak, onEnd, onFailure);
        self->m_toClient.start(weak, onEnd, onFailure);
    });
}

void ProxyConnection::applySetting()
{
    if (m_setting.closesConnections()) {
        close();
        return;
    }
    if (m_connected && !m_closed) {
        m_toTarget.applySetting();
        m_toClient.applySetting();
    }
}

void ProxyConnection::recordDirectionEnd()
{
    if (++m_endedDirections == 2) {
        close();
    }
}

void ProxyConnection::close()
{
    m_closed = true;
    m_toTarget.stop();
    m_toClient.stop();
    const bool withReset = m_setting.mode == ProxyMode::Reset;
    closeSocket(m_client, withReset);
    closeSocket(m_target, withReset);
}

Proxy::Proxy(asio::any_io_executor executor, std::string name, std::uint16_t listenPort, const std::string &target)
    : m_executor(std::move(executor)), m_name(std::move(name)),
      m_listenEndpoint(asio::ip::make_address("127.0.0.1"), listenPort), m_target(endpointFrom(target)),
      m_acceptor(m_executor)
{
    listen();
}

void Proxy::listen()
{
    m_acceptor.open(m_listenEndpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(m_listenEndpoint);
    m_acceptor.listen();
    m_listenEndpoint = m_acceptor.local_endpoint();
    accept();
}

void Proxy::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket client) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            std::erase_if(m_connections, [](const auto &connection) { return connection->isClosed(); });
            const auto connection = std::make_shared<ProxyConnection>(std::move(client), m_setting);
            if (m_setting.closesConnections()) {
                connection->close();
            } else {
                m_connections.push_back(connection);
                connection->start(m_target);
            }
        }
        accept();
    });
}

void Proxy::applySetting(const ProxySetting &setting)
{
    m_setting = setting;
    const bool refusesConnections = setting.mode == ProxyMode::Cut;
    if (refusesConnections && m_acceptor.is_open()) {
        m_acceptor.close();
    }
    for (const auto &connection : m_connections) {
        connection->applySetting();
    }
    std::erase_if(m_connections, [](const auto &connection) { return connection->isClosed(); });
    if (!refusesConnections && !m_acceptor.is_open()) {
        listen();
    }
}

Json Proxy::report() const
{
    return {{"name", m_name},
            {"listen", port()},
            {"target", m_target.address().to_string() + ":" + std::to_string(m_target.port())},
            {"mode", std::string(nameOf(m_setting.mode))},
            {"connections", m_connections.size()}};
}

} // namespace lycheelanding::standins::faultproxy

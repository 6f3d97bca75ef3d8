#pragma once

#include "lycheelanding/http/httpserver.h"

#include <asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace lycheelanding::http {

class ServerConnection;
using ServerConnectionPointer = std::shared_ptr<ServerConnection>;

/// The open connections of a server, and the settings and state that they share with it. Connections with an answer in
/// progress may outlive the server. Thread-safe.
class ServerConnections
{
public:
    ServerConnections(asio::io_context &context, const HttpServerSettings &settings, HttpHandler handler);

    void add(const ServerConnectionPointer &connection);
    void remove(const ServerConnection *connection);
    std::vector<ServerConnectionPointer> all() const;
    std::size_t count() const;
    /// Closes the connections that have been inactive for longest, a few at a time.
    void closeLongestInactive() const;

    asio::io_context &context() const { return m_context; }
    const HttpServerSettings &settings() const { return m_settings; }
    const HttpHandler &handler() const { return m_handler; }

    void setTimeouts(std::chrono::milliseconds readTimeout, std::chrono::milliseconds idleTimeout);
    std::chrono::milliseconds readTimeout() const { return m_readTimeout.load(); }
    std::chrono::milliseconds idleTimeout() const;

    /// Answers started from now on close their connections.
    void startDraining() { m_isDraining = true; }
    bool isDraining() const { return m_isDraining; }

    void exchangeOpened() { ++m_openExchanges; }
    void exchangeClosed() { --m_openExchanges; }
    std::size_t openExchanges() const { return m_openExchanges; }

private:
    asio::io_context &m_context;
    const HttpServerSettings m_settings;
    const HttpHandler m_handler;
    std::atomic<std::chrono::milliseconds> m_readTimeout;
    std::atomic<std::chrono::milliseconds> m_idleTimeout;
    std::atomic<bool> m_isDraining = false;
    std::atomic<std::size_t> m_openExchanges = 0;
    mutable std::mutex m_mutex;
    std::unordered_map<const ServerConnection *, std::weak_ptr<ServerConnection>> m_connections;
};

} // namespace lycheelanding::http

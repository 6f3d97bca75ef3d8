#pragma once

#include "lycheelanding/core/result.h"
#include "lycheelanding/http/httpserver.h"
#include "lycheelanding/wire/peerconnection.h"
#include "settings/daemonsettings.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>

namespace lycheelanding::daemon::shared {

/// Limits of the HTTP interface; those that are not set keep the defaults of the HTTP server.
struct HttpBounds
{
    std::optional<std::size_t> maxHeaderValueBytes = std::nullopt;
    std::optional<std::chrono::milliseconds> readTimeout = std::nullopt;
};

/// The two listening addresses of a process: its HTTP interface and the one for its peers.
class Endpoints
{
public:
    Endpoints(asio::io_context &context, http::HttpHandler onRequest, wire::PeerListener::HandlerFactory onPeer);

    /// Opens both addresses and prints them on standard output. Fails with InvalidSettings.
    core::Status open(const settings::CommonSettings &settings, const HttpBounds &bounds);
    void stopAccepting();

    /// Exchanges whose answers have not been written to the last byte.
    std::size_t openExchanges() const;

private:
    asio::io_context &m_context;
    http::HttpHandler m_onRequest;
    wire::PeerListener m_listener;
    std::unique_ptr<http::HttpServer> m_server;
};

} // namespace lycheelanding::daemon::shared

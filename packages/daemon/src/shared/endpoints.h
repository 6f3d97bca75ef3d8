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

/// Bounds of the HTTP interface that a role may narrow.
struct HttpBounds
{
    std::optional<std::size_t> maxHeaderValueBytes = std::nullopt;
    std::optional<std::chrono::milliseconds> readTimeout = std::nullopt;
};

/// The two addresses at which a process is reached: its HTTP interface and the one for its peers.
class Endpoints
{
public:
    Endpoints(asio::io_context &context, http::HttpHandler onRequest, wire::PeerListener::HandlerFactory onPeer);

    /// Opens both and prints them on standard output. Fails with InvalidSettings.
    core::Status open(const settings::CommonSettings &settings, const HttpBounds &bounds);
    void stopAccepting();

    /// Exchanges whose answers have not been taken to their last byte.
    std::size_t openExchanges() const;

private:
    asio::io_context &m_context;
    http::HttpHandler m_onRequest;
    wire::PeerListener m_listener;
    std::unique_ptr<http::HttpServer> m_server;
};

} // namespace lycheelanding::daemon::shared

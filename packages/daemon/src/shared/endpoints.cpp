#include "shared/endpoints.h"

#include "runtime/startupreport.h"

#include <unistd.h>

#include <memory>

namespace lycheelanding::daemon::shared {

namespace {

/// Callers may occupy what an account derives from half of the machine's memory: backend servers and other processes
/// run on the same VMs.
constexpr std::size_t machineMemoryDivisor = 2;

http::CallerMemoryPointer callerMemory(std::size_t maxBodyBytes)
{
    const long pages = ::sysconf(_SC_PHYS_PAGES);
    const long pageBytes = ::sysconf(_SC_PAGESIZE);
    if (pages <= 0 || pageBytes <= 0) {
        return nullptr;
    }
    const auto machineBytes = static_cast<std::size_t>(pages) * static_cast<std::size_t>(pageBytes);
    decisions::admission::MemoryAccountSettings account;
    account.shares = decisions::admission::memorySharesOf(machineBytes / machineMemoryDivisor, maxBodyBytes);
    return std::make_shared<http::CallerMemory>(account);
}

http::HttpServerSettings serverSettings(const asio::ip::tcp::endpoint &endpoint, const HttpBounds &bounds)
{
    http::HttpServerSettings settings;
    settings.address = endpoint.address().to_string();
    settings.port = endpoint.port();
    settings.maxHeaderValueBytes = bounds.maxHeaderValueBytes.value_or(settings.maxHeaderValueBytes);
    settings.readTimeout = bounds.readTimeout.value_or(settings.readTimeout);
    settings.memory = callerMemory(settings.maxBodyBytes);
    return settings;
}

} // namespace

Endpoints::Endpoints(asio::io_context &context, http::HttpHandler onRequest, wire::PeerListener::HandlerFactory onPeer)
    : m_context(context), m_onRequest(std::move(onRequest)), m_listener(context, std::move(onPeer))
{ }

core::Status Endpoints::open(const settings::CommonSettings &settings, const HttpBounds &bounds)
{
    const auto peer = wire::endpointFrom(settings.peerAddress);
    if (!core::isOk(peer)) {
        return core::errorOf(peer);
    }
    const auto http = wire::endpointFrom(settings.httpAddress);
    if (!core::isOk(http)) {
        return core::errorOf(http);
    }
    m_server = std::make_unique<http::HttpServer>(m_context, serverSettings(core::valueOf(http), bounds), m_onRequest);
    if (auto status = m_server->start(); !core::isOk(status)) {
        return status;
    }
    if (auto status = m_listener.start(core::valueOf(peer)); !core::isOk(status)) {
        return status;
    }
    runtime::reportListening(settings.httpAddress, m_server->port(), settings.peerAddress, m_listener.port());
    return core::Done();
}

void Endpoints::stopAccepting()
{
    m_server->stopAccepting();
}

std::size_t Endpoints::openExchanges() const
{
    return m_server->openExchanges();
}

} // namespace lycheelanding::daemon::shared

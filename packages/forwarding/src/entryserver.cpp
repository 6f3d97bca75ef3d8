#include "lycheelanding/forwarding/entryserver.h"

#include "lycheelanding/core/stablehash.h"
#include "lycheelanding/forwarding/refusal.h"

#include <map>
#include <utility>

namespace lycheelanding::forwarding {

namespace {

/// Idle connections to backend servers are dropped after this: they hold one of the few that a backend server takes.
constexpr std::chrono::seconds longestIdleConnection{20};
constexpr std::chrono::milliseconds drainCheckInterval{20};
/// How long a request waits for a fresh entry to read the configuration, which takes some ten milliseconds.
constexpr std::chrono::milliseconds earlyWait{500};
/// How long a stopped entry waits until its callers have taken the last bytes.
constexpr std::chrono::milliseconds lastBytesTime{300};

http::HttpServerSettings serverSettings(const asio::ip::tcp::endpoint &endpoint, std::size_t maxConnections)
{
    http::HttpServerSettings settings;
    settings.address = endpoint.address().to_string();
    settings.port = endpoint.port();
    settings.maxBodyBytes = CallerLimits().maxBodyBytes;
    settings.maxHeaderValueBytes = CallerLimits().maxHeaderBytes;
    settings.maxConnections = maxConnections;
    settings.readTimeout = CallerLimits().headerTimeout;
    settings.idleTimeout = CallerLimits().idleTimeout;
    return settings;
}

} // namespace

EntryServer::EntryServer(asio::io_context &context, EntryServerSettings settings, EventLog &log)
    : m_context(context), m_settings(std::move(settings)), m_log(log),
      m_backends(m_settings.dataCentre, core::stableHash(m_settings.process)),
      m_retries(m_settings.retryBudget, core::stableHash(m_settings.process)), m_pool(longestIdleConnection),
      m_earlyTimer(context), m_drain(m_settings.drain), m_drainTimer(context),
      m_callers(context, serverSettings(m_settings.callers, m_settings.maxConnections),
                [this](const auto &exchange) { handleRequest(exchange); }),
      m_readiness(context, serverSettings(m_settings.readiness, m_settings.maxConnections),
                  [this](const auto &exchange) { handleReadiness(exchange); })
{ }

EntryServer::~EntryServer() = default;

core::Status EntryServer::start()
{
    if (auto status = m_readiness.start(); !core::isOk(status)) {
        return status;
    }
    return m_callers.start();
}

void EntryServer::configurationRead(ForwardingConfiguration configuration)
{
    const auto version = configuration.version;
    if (m_routes && version <= m_routes->version()) {
        m_metrics.increment(report::Counter::OlderVersionsIgnored);
        return;
    }
    m_callers.setTimeouts(configuration.limits.headerTimeout, configuration.limits.idleTimeout);
    m_routes = std::make_shared<const RouteTable>(std::move(configuration));
    std::map<core::ServiceId, ModelShape> models;
    for (const auto &service : m_routes->configuration().services) {
        if (service.model && service.model->layers > 0) {
            models.emplace(service.id, *service.model);
        }
    }
    m_backends.setModels(std::move(models));
    if (m_hasBackends) {
        forwardEarlyRequests();
    }
    m_metrics.increment(report::Counter::VersionsInstalled);
    m_metrics.set(report::Gauge::ConfigurationVersion, version.number());
    m_log.write(LogImportance::State, "configurationInstalled",
                {{"configuration", static_cast<std::int64_t>(version.number())},
                 {"routes", static_cast<std::int64_t>(m_routes->configuration().routes.size())}});
}

void EntryServer::backendsChanged(const decisions::membership::DirectoryChanges &changes)
{
    for (const auto &change : changes) {
        if (const auto *gone = std::get_if<decisions::membership::BackendUnusable>(&change)) {
            if (const auto backend = m_backends.find(gone->id)) {
                if (const auto endpoint = endpointFrom(backend->address)) {
                    m_pool.closeTo(*endpoint);
                }
            }
            m_log.write(LogImportance::State, "backendUnusable",
                        {{"backend", gone->id.text()}, {"reason", decisions::membership::nameOf(gone->reason)}});
        } else {
            const auto &backend = std::get<decisions::membership::BackendUsable>(change).backend;
            m_log.write(
                LogImportance::State, "backendUsable",
                {{"backend", backend.id.text()}, {"service", backend.service.text()}, {"address", backend.address}});
        }
    }
    m_backends.apply(changes, m_clock.now());
}

void EntryServer::reportRank(const BackendId &id, const RankLoad &load)
{
    m_backends.reportRank(id, load, m_clock.now());
}

void EntryServer::handleReadiness(const http::HttpExchangePointer &exchange)
{
    constexpr int notFound = 404;
    constexpr int unavailable = 503;
    if (exchange->request().path() == "/metrics") {
        exchange->respond({200, {}, m_metrics.prometheusText(m_clock.now())});
        return;
    }
    if (exchange->request().path() != m_settings.readinessPath) {
        exchange->respond({notFound, {}, {}});
        return;
    }
    exchange->respond({isReady() ? 200 : unavailable, {}, {}});
}

void EntryServer::handleRequest(const http::HttpExchangePointer &exchange)
{
    const auto actions = m_drain.requestArrived(m_clock.now());
    for (const auto &action : actions) {
        if (const auto *refused = std::get_if<decisions::membership::RefuseRequest>(&action)) {
            exchange->respond(refusal({refused->kind, "the entry is stopping"}));
        } else if (std::holds_alternative<decisions::membership::AdmitRequest>(action)) {
            if (m_routes && m_hasBackends) {
                forward(exchange);
                continue;
            }
            m_early.push_back(exchange);
            if (m_early.size() == 1) {
                m_earlyTimer.expires_after(earlyWait);
                m_earlyTimer.async_wait([this](const auto &error) {
                    if (!error) {
                        forwardEarlyRequests();
                    }
                });
            }
        }
    }
    carryOut(actions);
}

void EntryServer::forwardEarlyRequests()
{
    m_earlyTimer.cancel();
    for (const auto &exchange : std::exchange(m_early, {})) {
        forward(exchange);
    }
}

void EntryServer::backendsListed()
{
    m_hasBackends = true;
    if (m_routes) {
        forwardEarlyRequests();
    }
}

void EntryServer::forward(const http::HttpExchangePointer &exchange)
{
    const ForwardingParts parts{m_context, m_settings.names, m_backends, m_retries,     m_pool,
                                m_log,     m_metrics,        m_waiting,  m_lastAttempt, m_streams};
    const auto onOver = [this] {
        carryOut(m_drain.requestFinished(m_clock.now()));
        advanceWaiting();
    };
    std::make_shared<ForwardedExchange>(parts, m_routes, exchange, onOver)->start();
}

void EntryServer::endSilentAttempts()
{
    // Going on may end requests, which leave the set.
    std::vector<std::shared_ptr<ForwardedExchange>> streams;
    for (const auto &[key, weak] : m_streams) {
        if (auto stream = weak.lock()) {
            streams.push_back(std::move(stream));
        }
    }
    for (const auto &stream : streams) {
        stream->endSilentAttempt();
    }
}

void EntryServer::stop(std::function<void()> onStopped)
{
    m_onStopped = std::move(onStopped);
    m_log.write(LogImportance::State, "draining",
                {{"running", static_cast<std::int64_t>(m_drain.running())}, {"reason", "stop signal"}});
    m_callers.startDraining();
    carryOut(m_drain.stopRequested(m_clock.now()));
    tickDrain();
}

void EntryServer::tickDrain()
{
    carryOut(m_drain.tick(m_clock.now()));
    // Answers that have ended may still be on their way to their callers.
    const bool isWritten = m_callers.openExchanges() == 0 || m_clock.now() >= m_lastBytesUntil;
    if (m_isStopped && isWritten) {
        std::exchange(m_onStopped, nullptr)();
        return;
    }
    m_drainTimer.expires_after(drainCheckInterval);
    m_drainTimer.async_wait([this](const auto &error) {
        if (!error) {
            tickDrain();
        }
    });
}

void EntryServer::carryOut(const decisions::membership::EntryDrainActions &actions)
{
    for (const auto &action : actions) {
        if (std::holds_alternative<decisions::membership::StopListening>(action)) {
            m_callers.stopAccepting();
            m_callers.closeIdleConnections();
        } else if (const auto *exit = std::get_if<decisions::membership::Exit>(&action)) {
            m_log.write(LogImportance::State, "stopped", {{"cutOff", static_cast<std::int64_t>(exit->unfinished)}});
            m_isStopped = true;
            m_lastBytesUntil = m_clock.now() + lastBytesTime;
        }
    }
}

} // namespace lycheelanding::forwarding

#include "lycheelanding/forwarding/entryserver.h"

#include "lycheelanding/core/stablehash.h"
#include "lycheelanding/forwarding/refusal.h"

#include <map>
#include <utility>

namespace lycheelanding::forwarding {

namespace {

/// Idle connections to backend servers are closed after this time: each uses one of the few that a backend server
/// accepts.
constexpr std::chrono::seconds idleConnectionTimeout{20};
constexpr std::chrono::milliseconds drainCheckInterval{20};
/// How long a request waits for a starting entry to read the configuration, which takes some ten milliseconds.
constexpr std::chrono::milliseconds earlyRequestTimeout{500};
/// How long an entry waits, after the time for its running requests, until its callers have their answers.
constexpr std::chrono::milliseconds finalFlushTimeout{300};

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

http::HttpServerSettings accountedSettings(const EntryServerSettings &entry, const asio::ip::tcp::endpoint &endpoint,
                                           std::size_t maxConnections)
{
    auto settings = serverSettings(endpoint, maxConnections);
    settings.memory = entry.callerMemory;
    return settings;
}

/// A copy, since requests that end remove themselves from the registry.
std::vector<std::shared_ptr<ForwardedExchange>> exchangesIn(const ExchangeRegistry &registry)
{
    std::vector<std::shared_ptr<ForwardedExchange>> exchanges;
    for (const auto &[key, weak] : registry) {
        if (auto exchange = weak.lock()) {
            exchanges.push_back(std::move(exchange));
        }
    }
    return exchanges;
}

} // namespace

EntryServer::EntryServer(asio::io_context &context, EntryServerSettings settings, EventLog &log)
    : m_context(context), m_settings(std::move(settings)), m_log(log),
      m_backends(m_settings.dataCentre, core::stableHash(m_settings.processName)),
      m_retries(m_settings.retryBudget, core::stableHash(m_settings.processName)),
      m_pool(idleConnectionTimeout, m_settings.maxIdleBackendConnections),
      m_intakeTracker(m_backends, m_log, m_metrics), m_capacityReporter(m_backends, m_log, m_metrics),
      m_requestGuard(context, core::stableHash(m_settings.processName), m_log, m_metrics,
                     [this] { cancelHeldAttempts(); }),
      m_backendLeaves([this](const BackendId &id) { backendLeaves(id); }), m_earlyTimer(context),
      m_drain(m_settings.drain), m_drainTimer(context),
      m_callerServer(context, accountedSettings(m_settings, m_settings.callerEndpoint, m_settings.maxConnections),
                     [this](const auto &exchange) { handleRequest(exchange); }),
      m_readinessServer(context,
                        accountedSettings(m_settings, m_settings.readinessEndpoint, m_settings.maxReadinessConnections),
                        [this](const auto &exchange) { handleReadiness(exchange); })
{
    m_intakeTracker.cold().setBounds(m_settings.coldBounds);
    if (m_settings.adaptiveCapacity) {
        m_backends.enableAdaptiveCapacity();
    }
}

EntryServer::~EntryServer() = default;

core::Status EntryServer::start()
{
    if (auto status = m_readinessServer.start(); !core::isOk(status)) {
        return status;
    }
    return m_callerServer.start();
}

void EntryServer::installConfiguration(ForwardingConfiguration configuration)
{
    const auto version = configuration.version;
    if (m_routes && version <= m_routes->version()) {
        m_metrics.increment(report::Counter::OlderVersionsIgnored);
        return;
    }
    m_callerServer.setTimeouts(configuration.limits.headerTimeout, configuration.limits.idleTimeout);
    m_routes = std::make_shared<const RouteTable>(std::move(configuration));
    std::map<core::ServiceId, ModelShape> models;
    for (const auto &service : m_routes->configuration().services) {
        if (service.model && service.model->layers > 0) {
            models.emplace(service.id, *service.model);
        }
    }
    m_backends.setModels(std::move(models));
    auto inTimeServices = m_routes->servicesWithRankedStreams();
    const auto inTimeCount = static_cast<std::int64_t>(inTimeServices.size());
    m_waiting.setGuaranteedServices(inTimeServices);
    m_backends.setInTimeServices(std::move(inTimeServices));
    m_intakeTracker.cold().configure(m_routes->configuration().services, m_clock.now());
    if (m_hasBackendList) {
        forwardEarlyRequests();
    }
    m_metrics.increment(report::Counter::VersionsInstalled);
    m_metrics.set(report::Gauge::ConfigurationVersion, version.number());
    m_log.write(LogImportance::State, "configurationInstalled",
                {{"configuration", static_cast<std::int64_t>(version.number())},
                 {"routes", static_cast<std::int64_t>(m_routes->configuration().routes.size())},
                 {"inTimeServices", inTimeCount}});
}

void EntryServer::applyBackendChanges(const decisions::membership::DirectoryChanges &changes)
{
    for (const auto &change : changes) {
        if (const auto *unusable = std::get_if<decisions::membership::BackendUnusable>(&change)) {
            if (const auto backend = m_backends.find(unusable->id)) {
                if (const auto endpoint = endpointFrom(backend->address)) {
                    m_pool.closeTo(*endpoint);
                }
            }
            m_log.write(
                LogImportance::State, "backendUnusable",
                {{"backend", unusable->id.text()}, {"reason", decisions::membership::nameOf(unusable->reason)}});
        } else {
            const auto &backend = std::get<decisions::membership::BackendUsable>(change).backend;
            m_log.write(
                LogImportance::State, "backendUsable",
                {{"backend", backend.id.text()}, {"service", backend.service.text()}, {"address", backend.address}});
        }
    }
    m_backends.apply(changes, m_clock.now());
}

void EntryServer::updateBackendLoad(const BackendId &id, const BackendLoad &load)
{
    m_backends.updateBackendLoad(id, load, m_clock.now());
}

void EntryServer::recordCallerMemory()
{
    const auto &memory = m_settings.callerMemory;
    if (memory && m_callerMemoryMetrics.record(*memory, m_metrics, m_clock.now())) {
        m_log.write(LogImportance::State, "callersLimited",
                    {{"closed", static_cast<std::int64_t>(memory->closedConnections())},
                     {"refused", static_cast<std::int64_t>(memory->refusedRequests())},
                     {"replaced", static_cast<std::int64_t>(memory->replacedConnections())},
                     {"heldBytes", static_cast<std::int64_t>(memory->heldBytes())}});
    }
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
            exchange->respond(refusalResponse({refused->kind, "the entry is stopping"}));
        } else if (std::holds_alternative<decisions::membership::AdmitRequest>(action)) {
            if (m_routes && m_hasBackendList) {
                forward(exchange);
                continue;
            }
            m_earlyRequests.push_back(exchange);
            if (m_earlyRequests.size() == 1) {
                m_earlyTimer.expires_after(earlyRequestTimeout);
                m_earlyTimer.async_wait([this](const auto &error) {
                    if (!error) {
                        forwardEarlyRequests();
                    }
                });
            }
        }
    }
    execute(actions);
}

void EntryServer::forwardEarlyRequests()
{
    m_earlyTimer.cancel();
    for (const auto &exchange : std::exchange(m_earlyRequests, {})) {
        forward(exchange);
    }
}

void EntryServer::backendsListed()
{
    m_hasBackendList = true;
    if (m_routes) {
        forwardEarlyRequests();
    }
}

void EntryServer::forward(const http::HttpExchangePointer &exchange)
{
    const ForwardingResources resources{
        m_context,       m_settings.names, m_backends,         m_retries,      m_pool,          m_log,
        m_metrics,       m_waiting,        m_lastAttempt,      m_requestGuard, m_intakeTracker, m_backendLeaves,
        m_queueForecast, m_running,        m_resumableStreams, m_drain};
    const auto onFinished = [this] {
        execute(m_drain.requestFinished(m_clock.now()));
        sendWaitingRequests();
    };
    std::make_shared<ForwardedExchange>(resources, m_routes, exchange, onFinished)->start();
}

void EntryServer::replaceInactiveAttempts()
{
    for (const auto &stream : exchangesIn(m_resumableStreams)) {
        stream->replaceInactiveAttempt();
    }
}

void EntryServer::cancelHeldAttempts()
{
    for (const auto &stream : exchangesIn(m_resumableStreams)) {
        stream->cancelHeldAttempt();
    }
}

void EntryServer::abandonRunning()
{
    for (const auto &exchange : exchangesIn(m_running)) {
        exchange->abandon();
    }
}

void EntryServer::backendLeaves(const BackendId &id)
{
    if (!m_backends.find(id)) {
        return;
    }
    applyBackendChanges({decisions::membership::BackendUnusable{id, decisions::membership::DirectoryReason::Leaving}});
    if (m_onLeaving) {
        m_onLeaving(id);
    }
}

void EntryServer::stop(std::function<void()> onStopped)
{
    m_onStopped = std::move(onStopped);
    m_log.write(LogImportance::State, "draining",
                {{"running", static_cast<std::int64_t>(m_drain.running())}, {"reason", "stop signal"}});
    m_callerServer.startDraining();
    execute(m_drain.stopRequested(m_clock.now()));
    tickDrain();
}

void EntryServer::tickDrain()
{
    execute(m_drain.tick(m_clock.now()));
    // Callers may not have read the last answers yet.
    const bool isRead = m_callerServer.openConnections() == 0;
    if (m_isStopped && (isRead || m_clock.now() >= *m_drain.deadline() + finalFlushTimeout)) {
        m_log.write(LogImportance::State, "stopped",
                    {{"cutOff", static_cast<std::int64_t>(m_abandoned + m_callerServer.openExchanges())}});
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

void EntryServer::execute(const decisions::membership::EntryDrainActions &actions)
{
    for (const auto &action : actions) {
        if (std::holds_alternative<decisions::membership::StopListening>(action)) {
            m_callerServer.stopAccepting();
            m_callerServer.closeIdleConnections();
        } else if (std::holds_alternative<decisions::membership::StopSending>(action)) {
            forwardEarlyRequests();
            sendWaitingRequests();
        } else if (const auto *exit = std::get_if<decisions::membership::Exit>(&action)) {
            m_abandoned = exit->unfinished;
            abandonRunning();
            m_isStopped = true;
        }
    }
}

} // namespace lycheelanding::forwarding

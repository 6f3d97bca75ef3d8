#pragma once

#include "lycheelanding/decisions/distribution/storeera.h"
#include "lycheelanding/decisions/membership/entrydrain.h"
#include "lycheelanding/decisions/membership/evacuateddatacentres.h"
#include "lycheelanding/forwarding/callermemorymetrics.h"
#include "lycheelanding/forwarding/capacityreporter.h"
#include "lycheelanding/forwarding/forwardedexchange.h"
#include "lycheelanding/forwarding/waitingrequests.h"

#include <memory>
#include <string>
#include <vector>

namespace lycheelanding::forwarding {

struct EntryServerSettings
{
    /// Endpoint to which callers connect.
    asio::ip::tcp::endpoint callerEndpoint;
    /// Endpoint of the platform's readiness checks and of the metrics.
    asio::ip::tcp::endpoint readinessEndpoint;
    std::string readinessPath = "/ready";
    std::string processName;
    core::DataCentreId dataCentre;
    FieldNames names;
    SharedRetryBudget retryBudget;
    decisions::membership::EntryDrainSettings drain;
    std::size_t maxConnections = 4096;
    ColdBounds coldBounds;
    /// Whether plain backend servers are chosen and limited by their response times.
    bool adaptiveCapacity = false;
    /// Engines get only the requests that they can serve within the routes' targets; others are refused early while
    /// more arrive than can be served.
    bool admitsInTimeOnly = false;
    std::size_t maxReadinessConnections = 4096;
    std::size_t maxIdleBackendConnections = SIZE_MAX;
    /// Account for what callers send and for answers that wait for them; null for none.
    http::CallerMemoryPointer callerMemory = nullptr;
};

/// An entry on the direct path: accepts requests of callers and forwards them to backend servers. Used on the thread of
/// its io_context.
class EntryServer
{
public:
    EntryServer(asio::io_context &context, EntryServerSettings settings, EventLog &log);
    ~EntryServer();

    core::Status start();
    /// Installs a version of the configuration; ignores it unless it is newer than the active one.
    void installConfiguration(ForwardingConfiguration configuration);
    void applyBackendChanges(const decisions::membership::DirectoryChanges &changes);
    /// From now on nothing is sent to the backend servers of evacuated data centres; running requests go on. `era`: the
    /// era of the store that reported the changes.
    void applyEvacuations(const decisions::membership::EvacuationChanges &changes,
                          decisions::distribution::StoreEra era);
    void updateBackendLoad(const BackendId &id, const BackendLoad &load);
    void setPosition(const decisions::membership::EntryPosition &position)
    {
        m_backends.setPosition(position, m_clock.now());
    }
    /// Sends waiting requests for which there is capacity now; to be called often.
    void sendWaitingRequests()
    {
        m_waiting.advance(m_clock.now());
        m_capacityReporter.advance(m_clock.now());
    }
    /// The VM was suspended: running requests say nothing about the speed of backend servers.
    void suspended() { m_backends.suspended(m_clock.now()); }
    /// Resumes streams of inactive backend servers elsewhere; to be called several times a second.
    void replaceInactiveAttempts();
    /// Updates the metrics and the log about the memory of callers; to be called often.
    void recordCallerMemory();
    /// The registry has been read completely at least once.
    void backendsListed();
    /// Drains the entry, so that requests in progress can finish; calls `onStopped` when the process may exit.
    void stop(std::function<void()> onStopped);

    /// The bound port; valid after start().
    std::uint16_t callerPort() const { return m_callerServer.port(); }
    bool isReady() const { return m_routes && m_hasBackendList && m_drain.isReady(); }
    const BackendSet &backends() const { return m_backends; }
    decisions::intake::BackendIntake &intake() { return m_backends.intake(); }
    const RouteTablePointer &routes() const { return m_routes; }
    report::Metrics &metrics() { return m_metrics; }
    RequestGuard &requestGuard() { return m_requestGuard; }
    IntakeTracker &intakeTracker() { return m_intakeTracker; }
    /// Sets the handler that is called when a backend server has said in an answer that it leaves.
    void setLeavingHandler(std::function<void(const BackendId &)> handler) { m_onLeaving = std::move(handler); }

private:
    void handleRequest(const http::HttpExchangePointer &exchange);
    void forward(const http::HttpExchangePointer &exchange);
    void forwardEarlyRequests();
    void handleReadiness(const http::HttpExchangePointer &exchange);
    void cancelHeldAttempts();
    /// Answers the callers of the requests that have not ended.
    void abandonRunning();
    void backendLeaves(const BackendId &id);
    void execute(const decisions::membership::EntryDrainActions &actions);
    void tickDrain();

    asio::io_context &m_context;
    const EntryServerSettings m_settings;
    CallerMemoryMetrics m_callerMemoryMetrics;
    core::SystemClock m_clock;
    EventLog &m_log;
    report::Metrics m_metrics;
    BackendSet m_backends;
    RetryBudgets m_retries;
    http::ConnectionPool m_pool;
    WaitingRequests<ForwardedExchange> m_waiting;
    decisions::admission::QueueForecast m_queueForecast;
    AttemptId m_lastAttempt;
    ExchangeRegistry m_running;
    ExchangeRegistry m_resumableStreams;
    IntakeTracker m_intakeTracker;
    CapacityReporter m_capacityReporter;
    RequestGuard m_requestGuard;
    std::function<void(const BackendId &)> m_onLeaving;
    const std::function<void(const BackendId &)> m_backendLeaves;
    RouteTablePointer m_routes;
    bool m_hasBackendList = false;
    /// Requests that arrived before the configuration and the backend servers were known.
    std::vector<http::HttpExchangePointer> m_earlyRequests;
    asio::steady_timer m_earlyTimer;
    decisions::membership::EntryDrain m_drain;
    asio::steady_timer m_drainTimer;
    std::function<void()> m_onStopped;
    bool m_isStopped = false;
    /// Requests that the end of the drain has abandoned.
    std::size_t m_abandoned = 0;
    http::HttpServer m_callerServer;
    http::HttpServer m_readinessServer;
};

} // namespace lycheelanding::forwarding

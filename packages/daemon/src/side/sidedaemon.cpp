#include "side/sidedaemon.h"

#include "logging/statelog.h"
#include "runtime/stopsignals.h"
#include "runtime/workerpool.h"
#include "shared/acceptedlinks.h"
#include "shared/configurationtable.h"
#include "shared/configurationupdater.h"
#include "shared/endpoints.h"
#include "shared/problemdetails.h"
#include "shared/randomnumbers.h"
#include "shared/servingstates.h"
#include "side/group/groupparticipation.h"
#include "side/loadobserver.h"
#include "side/requestrunner.h"

#include "lycheelanding/http/httpclient.h"
#include "lycheelanding/services/vmlist.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <vector>

namespace lycheelanding::daemon::side {

namespace {

constexpr std::chrono::milliseconds drainCheckInterval(20);
/// Time to send the last frames before the process exits.
constexpr std::chrono::milliseconds flushTime(200);

} // namespace

class SideDaemon::Private
{
public:
    explicit Private(const settings::SideSettings &sideSettings);

    core::Status run();

private:
    wire::PeerHandlers handlersForPeer();
    void received(const wire::PeerConnectionPointer &link, const wire::Frame &frame);
    template <typename Message, typename Handler>
    void handleAs(const wire::PeerConnectionPointer &link, const wire::Frame &frame, Handler handler);
    void answerHttp(const http::HttpExchangePointer &exchange);
    std::string statusJson() const;
    void sendHeartbeat();
    std::chrono::milliseconds heartbeatInterval() const;
    void readVmList();
    SideGateHandlers gateHandlers();
    void stop(std::size_t unfinished);

    const settings::SideSettings m_settings;
    const wire::Hello m_hello;
    runtime::WorkerPool m_pool;
    /// Destroyed at the end of run(), before the members that its handlers use.
    std::unique_ptr<http::HttpClient> m_client = std::make_unique<http::HttpClient>();
    shared::ConfigurationTable m_configuration;
    shared::AcceptedLinks m_links;
    shared::ConfigurationUpdater m_updater;
    SideGate m_gate;
    RequestRunner m_runner;
    LoadObserver m_load;
    report::Metrics m_metrics;
    group::GroupParticipation m_group;
    services::HttpVmList m_vmList;
    shared::Endpoints m_endpoints;
    std::optional<runtime::StopSignals> m_signals;
    std::unique_ptr<runtime::RepeatingTimer> m_heartbeatTimer;
    std::vector<std::unique_ptr<runtime::RepeatingTimer>> m_timers;
};

SideDaemon::SideDaemon(const settings::SideSettings &settings) : m_d(std::make_unique<Private>(settings)) { }

SideDaemon::~SideDaemon() = default;

core::Status SideDaemon::run()
{
    return m_d->run();
}

SideDaemon::Private::Private(const settings::SideSettings &sideSettings)
    : m_settings(sideSettings), m_hello{wire::Role::Side, sideSettings.common.vm, sideSettings.common.dataCentre,
                                        core::Incarnation(shared::randomNumber())},
      m_pool(sideSettings.common.workers),
      m_updater(m_pool.context(), m_configuration,
                {[this](const core::VmId &vm) { return m_links.find(vm); }, nullptr, nullptr}),
      m_gate(decisions::membership::SideDrainSettings(), gateHandlers()),
      m_runner(*m_client, sideSettings.backendUrl, m_configuration, m_hello.incarnation, m_gate),
      m_load(m_pool.context(), *m_client, sideSettings),
      m_group(m_pool.context(), *m_client, sideSettings.backendUrl, sideSettings.keyValueUrl, m_hello, m_configuration,
              m_metrics),
      m_vmList(*m_client, sideSettings.common.vmListUrl),
      m_endpoints(
          m_pool.context(), [this](const auto &exchange) { answerHttp(exchange); },
          [this] { return handlersForPeer(); })
{
    m_configuration.addObserver([this](const auto &active) {
        m_metrics.set(report::Gauge::ConfigurationVersion, active->version.number());
        m_metrics.increment(report::Counter::VersionsInstalled);
        m_gate.setDrainTimeout(std::chrono::milliseconds(active->document.limits.drainLimitMs));
        m_group.applyConfiguration(active->document);
        logging::logChange(logging::Level::Info, "configuration installed",
                           {{"version", std::to_string(active->version.number())}});
    });
}

std::chrono::milliseconds SideDaemon::Private::heartbeatInterval() const
{
    return std::chrono::milliseconds(m_configuration.active()->document.membership.heartbeatIntervalMs);
}

core::Status SideDaemon::Private::run()
{
    auto status = m_endpoints.open(m_settings.common, {});
    if (!core::isOk(status)) {
        return status;
    }
    m_signals.emplace(m_pool.context(), [this] { m_gate.stopRequested(); });
    m_updater.start({});
    auto &context = m_pool.context();
    m_heartbeatTimer = std::make_unique<runtime::RepeatingTimer>(context, heartbeatInterval(), [this] {
        sendHeartbeat();
        m_heartbeatTimer->setInterval(heartbeatInterval());
    });
    m_timers.push_back(
        std::make_unique<runtime::RepeatingTimer>(context, m_settings.common.vmListInterval, [this] { readVmList(); }));
    m_timers.push_back(
        std::make_unique<runtime::RepeatingTimer>(context, drainCheckInterval, [this] { m_gate.tick(); }));
    m_pool.run();
    m_heartbeatTimer.reset();
    m_timers.clear();
    m_client.reset();
    return core::Done();
}

wire::PeerHandlers SideDaemon::Private::handlersForPeer()
{
    wire::PeerHandlers handlers;
    handlers.onOpened = [this](const auto &link) {
        m_links.opened(link);
        link->send(wire::makeFrame(m_hello, m_configuration.version()));
    };
    handlers.onFrame = [this](const auto &link, const auto &frame) { received(link, frame); };
    handlers.onClosed = [this](const auto &link, const auto &) {
        if (m_links.roleOf(link) == wire::Role::Entry) {
            m_gate.entryDisconnected();
        }
        m_links.closed(link);
        m_group.linkLost(link);
        m_runner.linkLost(link);
    };
    return handlers;
}

template <typename Message, typename Handler>
void SideDaemon::Private::handleAs(const wire::PeerConnectionPointer &link, const wire::Frame &frame, Handler handler)
{
    const auto message = wire::messageOf<Message>(frame);
    if (!core::isOk(message)) {
        link->closeWith(core::errorOf(message));
        return;
    }
    handler(core::valueOf(message));
}

void SideDaemon::Private::received(const wire::PeerConnectionPointer &link, const wire::Frame &frame)
{
    const auto peer = m_links.vmOf(link);
    if (peer && m_updater.handleFrame(*peer, link, frame)) {
        return;
    }
    if (!peer && frame.type != wire::MessageType::Hello) {
        link->closeWith({core::ErrorKind::ProtocolMismatch, "the first message is not a hello"});
        return;
    }
    if (m_group.received(link, frame)) {
        return;
    }
    switch (frame.type) {
    case wire::MessageType::Hello:
        handleAs<wire::Hello>(link, frame, [&](const auto &hello) {
            m_links.helloReceived(link, hello);
            if (hello.role == wire::Role::Entry) {
                m_gate.entryConnected();
            }
            m_updater.handleFrame(hello.vm, link, frame);
            sendHeartbeat();
        });
        break;
    case wire::MessageType::RequestStart:
        handleAs<wire::RequestStart>(link, frame, [&](const auto &request) { m_runner.start(link, request); });
        break;
    case wire::MessageType::RequestCancel:
        handleAs<wire::RequestCancel>(link, frame, [&](const auto &cancel) { m_runner.cancel(cancel.key); });
        break;
    case wire::MessageType::KeptAnswerQuery:
        handleAs<wire::KeptAnswerQuery>(link, frame,
                                        [&](const auto &query) { m_runner.handleKeptAnswerQuery(link, query); });
        break;
    case wire::MessageType::BackendServerDrain:
        m_gate.vmLeaving("operator's order");
        break;
    default:
        break;
    }
}

void SideDaemon::Private::sendHeartbeat()
{
    wire::Heartbeat heartbeat;
    heartbeat.state = shared::servingStateOf(m_gate.phase());
    heartbeat.inFlight = static_cast<std::uint32_t>(m_runner.inFlight());
    m_load.addTo(heartbeat);
    m_links.sendToAll(wire::makeFrame(heartbeat, m_configuration.version()));
}

void SideDaemon::Private::readVmList()
{
    m_vmList.list([this](const core::Result<std::vector<services::VmRow>> &rows) {
        if (!core::isOk(rows)) {
            return;
        }
        m_group.setVms(core::valueOf(rows));
        for (const auto &row : core::valueOf(rows)) {
            if (row.vm == m_settings.common.vm && row.state == services::VmState::Leaving) {
                m_gate.vmLeaving("VM list");
            }
        }
    });
}

SideGateHandlers SideDaemon::Private::gateHandlers()
{
    SideGateHandlers handlers;
    handlers.onAnnounceLeaving = [this] { sendHeartbeat(); };
    handlers.onExit = [this](std::size_t unfinished) { stop(unfinished); };
    return handlers;
}

void SideDaemon::Private::stop(std::size_t unfinished)
{
    logging::logChange(logging::Level::Info, "stopped", {{"cutOff", std::to_string(unfinished)}});
    m_group.stop();
    m_links.closeAll();
    const auto timer = std::make_shared<asio::steady_timer>(m_pool.context(), flushTime);
    timer->async_wait([this, timer](const auto &) { m_pool.stop(); });
}

std::string SideDaemon::Private::statusJson() const
{
    nlohmann::json status{{"vm", m_hello.vm.text()},
                          {"dataCentre", m_hello.dataCentre.text()},
                          {"state", std::string(wire::nameOf(shared::servingStateOf(m_gate.phase())))},
                          {"configurationVersion", m_configuration.version().number()},
                          {"inFlight", m_runner.inFlight()}};
    if (const auto coordinator = m_group.coordinatorStatus()) {
        status["rankGroup"] = {{"phase", coordinator->phase},
                               {"generation", coordinator->generation.number()},
                               {"mapVersion", coordinator->map.number()}};
    }
    return status.dump();
}

void SideDaemon::Private::answerHttp(const http::HttpExchangePointer &exchange)
{
    const auto path = exchange->request().path();
    if (path == "/health") {
        exchange->respond(http::jsonResponse(200, R"({"healthy":true})"));
        return;
    }
    if (path == "/ready") {
        const bool isReady
            = m_gate.phase() == decisions::membership::DrainPhase::Serving && m_load.isBackendReachable();
        exchange->respond(isReady ? http::jsonResponse(200, R"({"ready":true})")
                                  : http::jsonResponse(503, R"({"ready":false})"));
        return;
    }
    if (path == "/status") {
        exchange->respond(http::jsonResponse(200, statusJson()));
        return;
    }
    if (path == "/metrics") {
        http::HttpResponse response;
        response.headers.add("Content-Type", "text/plain; version=0.0.4");
        response.body = m_metrics.prometheusText(core::SystemClock().now());
        exchange->respond(std::move(response));
        return;
    }
    exchange->respond(shared::problemResponse({core::ErrorKind::UnknownRoute, "no such resource"}));
}

} // namespace lycheelanding::daemon::side

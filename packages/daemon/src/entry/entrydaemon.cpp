#include "entry/entrydaemon.h"

#include "entry/entrygate.h"
#include "entry/entryservices.h"
#include "entry/forwardedrequest.h"
#include "entry/operatorinterface.h"
#include "entry/patchservice.h"
#include "entry/private/peerselection.h"
#include "entry/requestclassifier.h"
#include "logging/statelog.h"
#include "runtime/stopsignals.h"
#include "runtime/workerpool.h"
#include "shared/acceptedlinks.h"
#include "shared/configurationupdater.h"
#include "shared/endpoints.h"
#include "shared/peerversiontable.h"
#include "shared/problemdetails.h"
#include "shared/randomnumbers.h"
#include "shared/servingstates.h"

#include "lycheelanding/services/vmlist.h"

#include <atomic>

namespace lycheelanding::daemon::entry {

namespace {

constexpr std::chrono::milliseconds drainCheckInterval(20);
constexpr std::chrono::milliseconds capacityUpdateInterval(50);
/// Time for sending the last bytes of answers after the time for running requests.
constexpr std::chrono::milliseconds flushTimeout(2000);
constexpr std::chrono::seconds storeWatchTimeout(20);

} // namespace

class EntryDaemon::Private
{
public:
    explicit Private(const settings::EntrySettings &entrySettings);

    core::Status run();

private:
    void startTimers();
    std::chrono::milliseconds heartbeatInterval() const;
    shared::ConfigurationUpdaterCallbacks configurationPorts();
    shared::PeerLinkHandlers sideHandlers();
    shared::PeerLinkHandlers entryHandlers();
    wire::PeerHandlers acceptedHandlers();
    void handleAcceptedFrame(const wire::PeerConnectionPointer &link, const wire::Frame &frame);
    void handleSideFrame(const core::VmId &vm, const wire::PeerConnectionPointer &link, const wire::Frame &frame);
    wire::PeerConnectionPointer findPeer(const core::VmId &vm) const;

    void applyConfiguration(const shared::ActiveConfigurationPointer &active);
    void readVmList();
    void applyVmList(const std::vector<services::VmRow> &rows);
    void sendHeartbeat();
    void updateCapacity();
    void updateGauges();
    void handleRequest(const http::HttpExchangePointer &exchange);
    core::Status forward(const http::HttpExchangePointer &exchange);
    EntryGateHandlers gateHandlers();
    void onDrained(std::size_t unfinished);
    void tickGate();
    OperatorServices operatorServices();
    EntryServices entryServices();

    const settings::EntrySettings m_settings;
    const wire::Hello m_hello;
    core::SystemClock m_clock;
    runtime::WorkerPool m_pool;
    /// Reset at the end of run(), before the members that its handlers use are destroyed.
    std::unique_ptr<http::HttpClient> m_client = std::make_unique<http::HttpClient>();
    report::Metrics m_metrics;
    InstrumentedStore m_store;
    services::HttpVmList m_vmList;
    shared::ConfigurationTable m_configuration;
    shared::PeerVersionTable m_peerVersions;
    shared::AcceptedLinks m_accepted;
    RequestTable m_requests;
    RunningRequests m_running;
    BackendTable m_backends;
    RequestMetrics m_requestMetrics;
    shared::PeerLinks m_sides;
    shared::PeerLinks m_entries;
    shared::ConfigurationUpdater m_updater;
    AdmissionService m_admission;
    SharedRetryPolicy m_retries;
    ClaimService<InstrumentedStore> m_claims;
    PatchService m_patches;
    EntryGate m_gate;
    EntryServices m_services;
    OperatorInterface m_operatorInterface;
    shared::Endpoints m_endpoints;
    /// Latest time at which the process stops; the zero time point until the drain has ended.
    std::atomic<core::TimePoint> m_stopDeadline = core::TimePoint();
    std::optional<runtime::StopSignals> m_signals;
    std::unique_ptr<runtime::RepeatingTimer> m_heartbeatTimer;
    std::vector<std::unique_ptr<runtime::RepeatingTimer>> m_timers;
};

EntryDaemon::EntryDaemon(const settings::EntrySettings &settings) : m_d(std::make_unique<Private>(settings)) { }

EntryDaemon::~EntryDaemon() = default;

core::Status EntryDaemon::run()
{
    return m_d->run();
}

EntryDaemon::Private::Private(const settings::EntrySettings &entrySettings)
    : m_settings(entrySettings), m_hello{wire::Role::Entry, entrySettings.common.vm, entrySettings.common.dataCentre,
                                         core::Incarnation(shared::randomNumber())},
      m_pool(entrySettings.common.workers),
      m_store({*m_client, entrySettings.keyValueUrl, entrySettings.keyValueTimeout}, m_metrics),
      m_vmList(*m_client, entrySettings.common.vmListUrl), m_requests(m_hello.incarnation),
      m_backends(shared::randomNumber()), m_requestMetrics(m_metrics),
      m_sides(m_pool.context(), m_hello, m_configuration, sideHandlers()),
      m_entries(m_pool.context(), m_hello, m_configuration, entryHandlers()),
      m_updater(m_pool.context(), m_configuration, configurationPorts()),
      m_admission(m_pool.context(), decisions::admission::AdmissionSettings()),
      m_retries(decisions::retry::RetrySettings(), shared::randomNumber()), m_claims(m_pool.context(), m_store),
      m_patches(m_pool.context(), m_store, m_updater, m_metrics),
      m_gate({entrySettings.notReadyTime, decisions::membership::EntryDrainSettings().timeout}, gateHandlers()),
      m_services(entryServices()), m_operatorInterface(operatorServices()),
      m_endpoints(
          m_pool.context(), [this](const auto &exchange) { handleRequest(exchange); },
          [this] { return acceptedHandlers(); })
{
    m_configuration.addObserver([this](const auto &active) { applyConfiguration(active); });
}

EntryServices EntryDaemon::Private::entryServices()
{
    return {m_pool.context(), m_configuration, m_admission, m_backends,       m_sides, m_requests,
            m_running,        m_claims,        m_retries,   m_requestMetrics, m_gate,  m_settings.maxUnsentBytes};
}

OperatorServices EntryDaemon::Private::operatorServices()
{
    return {m_hello,
            m_configuration,
            m_updater,
            m_peerVersions,
            m_backends,
            m_requestMetrics,
            m_sides,
            m_patches,
            m_store,
            [this] { return shared::servingStateOf(m_gate.phase()); },
            [this] { return m_gate.isReady() && m_updater.isReady(); }};
}

shared::ConfigurationUpdaterCallbacks EntryDaemon::Private::configurationPorts()
{
    shared::ConfigurationUpdaterCallbacks ports;
    ports.findPeer = [this](const core::VmId &vm) { return findPeer(vm); };
    ports.readStore = [this](services::ReadHandler onRead) { m_store.read(configurationKey, std::move(onRead)); };
    ports.watchStore = [this](std::uint64_t afterRevision, services::ReadHandler onRead) {
        m_store.watch(configurationKey, afterRevision, storeWatchTimeout, std::move(onRead));
    };
    ports.count = [this](report::Counter counter) { m_metrics.increment(counter); };
    return ports;
}

wire::PeerConnectionPointer EntryDaemon::Private::findPeer(const core::VmId &vm) const
{
    if (auto link = m_entries.find(vm)) {
        return link;
    }
    if (auto link = m_accepted.find(vm)) {
        return link;
    }
    return m_sides.find(vm);
}

core::Status EntryDaemon::Private::run()
{
    auto status = m_endpoints.open(m_settings.common, {m_settings.maxHeaderValueBytes, m_settings.readTimeout});
    if (!core::isOk(status)) {
        return status;
    }
    m_signals.emplace(m_pool.context(), [this] {
        logging::logChange(logging::Level::Info, "draining", {{"reason", "stop signal"}});
        m_gate.stopRequested();
    });
    startTimers();
    readVmList();
    m_updater.start({});
    m_pool.run();
    m_heartbeatTimer.reset();
    m_timers.clear();
    m_client.reset();
    return core::Done();
}

std::chrono::milliseconds EntryDaemon::Private::heartbeatInterval() const
{
    return std::chrono::milliseconds(m_configuration.active()->document.membership.heartbeatIntervalMs);
}

void EntryDaemon::Private::startTimers()
{
    const auto repeat = [this](std::chrono::milliseconds interval, void (Private::*call)()) {
        m_timers.push_back(
            std::make_unique<runtime::RepeatingTimer>(m_pool.context(), interval, [this, call] { (this->*call)(); }));
    };
    m_heartbeatTimer = std::make_unique<runtime::RepeatingTimer>(m_pool.context(), heartbeatInterval(), [this] {
        sendHeartbeat();
        m_heartbeatTimer->setInterval(heartbeatInterval());
    });
    repeat(m_settings.common.vmListInterval, &Private::readVmList);
    repeat(capacityUpdateInterval, &Private::updateCapacity);
    repeat(drainCheckInterval, &Private::tickGate);
}

shared::PeerLinkHandlers EntryDaemon::Private::sideHandlers()
{
    shared::PeerLinkHandlers handlers;
    handlers.onHelloReceived
        = [this](const auto &, const auto &, const auto &hello) { m_peerVersions.helloReceived(hello); };
    handlers.onFrame
        = [this](const auto &vm, const auto &link, const auto &frame) { handleSideFrame(vm, link, frame); };
    handlers.onLost = [this](const auto &vm, const auto &link, const auto &error) {
        // The lost connection may be an older one that was still in use.
        if (!m_sides.find(vm)) {
            m_backends.linkLost(vm);
        }
        m_requests.linkLost(link, error);
    };
    handlers.isInUse = [this](const auto &link) { return m_requests.isInUse(link); };
    handlers.onRetired = [this](const auto &vm) { m_backends.linkLost(vm); };
    return handlers;
}

shared::PeerLinkHandlers EntryDaemon::Private::entryHandlers()
{
    shared::PeerLinkHandlers handlers;
    handlers.onHelloReceived
        = [this](const auto &, const auto &, const auto &hello) { m_peerVersions.helloReceived(hello); };
    handlers.onFrame = [this](const auto &vm, const auto &link, const auto &frame) {
        m_peerVersions.versionReceived(vm, frame.configurationVersion);
        m_updater.handleFrame(vm, link, frame);
    };
    handlers.onLost = [](const auto &, const auto &, const auto &) {};
    return handlers;
}

wire::PeerHandlers EntryDaemon::Private::acceptedHandlers()
{
    wire::PeerHandlers handlers;
    handlers.onOpened = [this](const auto &link) {
        m_accepted.opened(link);
        link->send(wire::makeFrame(m_hello, m_configuration.version()));
    };
    handlers.onFrame = [this](const auto &link, const auto &frame) { handleAcceptedFrame(link, frame); };
    handlers.onClosed = [this](const auto &link, const auto &) { m_accepted.closed(link); };
    return handlers;
}

void EntryDaemon::Private::handleAcceptedFrame(const wire::PeerConnectionPointer &link, const wire::Frame &frame)
{
    if (frame.type == wire::MessageType::Hello) {
        const auto hello = wire::messageOf<wire::Hello>(frame);
        if (!core::isOk(hello)) {
            link->closeWith(core::errorOf(hello));
            return;
        }
        m_accepted.helloReceived(link, core::valueOf(hello));
        m_peerVersions.helloReceived(core::valueOf(hello));
    }
    const auto vm = m_accepted.vmOf(link);
    if (!vm) {
        link->closeWith({core::ErrorKind::ProtocolMismatch, "the first message is not a hello"});
        return;
    }
    m_peerVersions.versionReceived(*vm, frame.configurationVersion);
    m_updater.handleFrame(*vm, link, frame);
}

void EntryDaemon::Private::handleSideFrame(const core::VmId &vm, const wire::PeerConnectionPointer &link,
                                           const wire::Frame &frame)
{
    m_peerVersions.versionReceived(vm, frame.configurationVersion);
    if (m_updater.handleFrame(vm, link, frame)) {
        return;
    }
    if (frame.type != wire::MessageType::Heartbeat) {
        m_requests.dispatch(link, frame);
        return;
    }
    const auto heartbeat = wire::messageOf<wire::Heartbeat>(frame);
    if (!core::isOk(heartbeat)) {
        link->closeWith(core::errorOf(heartbeat));
        return;
    }
    if (const auto incarnation = m_sides.incarnationOf(vm)) {
        m_backends.heartbeat(vm, *incarnation, core::valueOf(heartbeat));
    }
}

void EntryDaemon::Private::applyConfiguration(const shared::ActiveConfigurationPointer &active)
{
    logging::logChange(logging::Level::Info, "configuration installed",
                       {{"version", std::to_string(active->version.number())}});
    const auto &document = active->document;
    m_gate.setDrainTimeout(std::chrono::milliseconds(document.limits.drainLimitMs));
    m_backends.setConfiguration(document);
    m_requestMetrics.setObjectives(document.objectives);
    m_metrics.increment(report::Counter::VersionsInstalled);
    m_metrics.set(report::Gauge::ConfigurationVersion, active->version.number());
    std::vector<decisions::admission::OrganisationShare> shares;
    for (const auto &organisation : document.organisations) {
        shares.push_back({organisation.id, organisation.weight, organisation.maxInFlight});
    }
    decisions::admission::AdmissionSettings admission;
    admission.maxQueuedPerOrganisation = document.limits.queuePerOrganisation;
    m_admission.setSettings(admission);
    m_admission.setOrganisations(shares);
    m_retries.setConfiguration(document.retries);
    decisions::idempotency::ClaimSettings claims;
    claims.retention = std::chrono::seconds(document.idempotency.retentionSeconds);
    m_claims.setSettings(claims, document.idempotency.partitions);
    updateCapacity();
}

void EntryDaemon::Private::readVmList()
{
    m_vmList.list([this](const auto &rows) {
        if (core::isOk(rows)) {
            applyVmList(core::valueOf(rows));
        }
    });
}

void EntryDaemon::Private::applyVmList(const std::vector<services::VmRow> &rows)
{
    m_backends.setVms(rows);
    m_sides.setTargets(sideTargets(rows, m_configuration.active()->document, m_hello.vm, m_hello.dataCentre));
    m_entries.setTargets(entryTargets(rows, m_hello.vm, m_hello.dataCentre));
    const auto entries = liveEntries(rows, m_hello.vm);
    m_backends.setLiveEntries(entries.size());
    m_admission.setLiveEntries(entries.size());
    m_updater.setWatching(isStoreWatcher(rows, m_hello.vm, m_hello.dataCentre));
    updateCapacity();
}

void EntryDaemon::Private::updateGauges()
{
    using report::Gauge;
    const bool isServing = m_gate.isReady() && m_updater.isReady();
    m_metrics.set(Gauge::Ready, isServing ? 1 : 0);
    m_metrics.set(Gauge::Draining, shared::servingStateOf(m_gate.phase()) == wire::ServingState::Draining ? 1 : 0);
    m_metrics.set(Gauge::ConfigurationStale, m_updater.isStale() ? 1 : 0);
    m_metrics.set(Gauge::RequestsInFlight, m_requests.size());
    m_metrics.set(Gauge::RequestsQueued, m_admission.queued());
}

void EntryDaemon::Private::sendHeartbeat()
{
    updateGauges();
    wire::Heartbeat heartbeat;
    heartbeat.state = shared::servingStateOf(m_gate.phase());
    const auto frame = wire::makeFrame(heartbeat, m_configuration.version());
    m_sides.sendToAll(frame);
    m_entries.sendToAll(frame);
    m_accepted.sendToAll(frame);
    m_peerVersions.removeInactive();
}

void EntryDaemon::Private::updateCapacity()
{
    m_backends.tick();
    m_admission.setCapacity(m_backends.capacity());
}

void EntryDaemon::Private::handleRequest(const http::HttpExchangePointer &exchange)
{
    if (m_operatorInterface.answer(exchange)) {
        return;
    }
    const auto forwarded = forward(exchange);
    if (!core::isOk(forwarded)) {
        m_requestMetrics.recordEarlyRefusal(core::errorOf(forwarded).kind);
        exchange->respond(shared::problemResponse(core::errorOf(forwarded)));
    }
}

core::Status EntryDaemon::Private::forward(const http::HttpExchangePointer &exchange)
{
    if (!m_updater.isReady()) {
        return core::Error{core::ErrorKind::ConfigurationStale, "the entry has no configuration yet"};
    }
    auto classified = classifyRequest(exchange->request(), m_configuration.active()->document, m_hello.dataCentre);
    if (!core::isOk(classified)) {
        return core::errorOf(classified);
    }
    if (!core::valueOf(classified).isIdempotent && m_updater.isStale()) {
        return core::Error{core::ErrorKind::ConfigurationStale,
                           "the entry cannot tell whether its configuration is in force"};
    }
    if (auto admitted = m_gate.admit(); !core::isOk(admitted)) {
        return admitted;
    }
    std::make_shared<ForwardedRequest>(m_services, exchange, core::takeValue(std::move(classified)))->start();
    return core::Done();
}

EntryGateHandlers EntryDaemon::Private::gateHandlers()
{
    EntryGateHandlers handlers;
    handlers.onStopListening = [this] { m_endpoints.stopAccepting(); };
    handlers.onStopSending = [this] {
        for (const auto &request : m_running.all()) {
            request->stopSending();
        }
    };
    handlers.onExit = [this](std::size_t unfinished) { onDrained(unfinished); };
    return handlers;
}

void EntryDaemon::Private::onDrained(std::size_t unfinished)
{
    logging::logChange(logging::Level::Info, "stopped", {{"cutOff", std::to_string(unfinished)}});
    for (const auto &request : m_running.all()) {
        request->abandon();
    }
    m_stopDeadline = m_gate.deadline().value_or(m_clock.now()) + flushTimeout;
}

void EntryDaemon::Private::tickGate()
{
    m_gate.tick();
    // The last bytes of answers may still be unsent.
    const bool isFlushed = m_endpoints.openExchanges() == 0;
    const auto stopDeadline = m_stopDeadline.load();
    if (stopDeadline != core::TimePoint() && (isFlushed || m_clock.now() > stopDeadline)) {
        m_pool.stop();
    }
}

} // namespace lycheelanding::daemon::entry

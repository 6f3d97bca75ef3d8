#include "entry/operatorinterface.h"

#include "entry/private/patchrequest.h"
#include "shared/problemdetails.h"

#include <nlohmann/json.hpp>

namespace lycheelanding::daemon::entry {

namespace {

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusAccepted = 202;
constexpr int statusUnavailable = 503;
constexpr std::string_view drainPrefix = "/drain/";

std::int64_t millisecondsSince(core::TimePoint then, core::TimePoint now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - then).count();
}

http::HttpResponse patchResponse(const decisions::distribution::PatchAnswer &answer)
{
    using decisions::distribution::PatchOutcome;
    if (answer.outcome == PatchOutcome::Accepted) {
        return http::jsonResponse(statusOk, Json{{"version", answer.version.number()}}.dump());
    }
    auto response = shared::problemResponse(answer.error);
    if (answer.outcome == PatchOutcome::Conflict) {
        auto problem = Json::parse(response.body);
        problem["currentVersion"] = answer.version.number();
        response.body = problem.dump();
    }
    return response;
}

} // namespace

OperatorInterface::OperatorInterface(const OperatorServices &services) : m_services(services) { }

const std::vector<OperatorInterface::Route> &OperatorInterface::routes()
{
    static const std::vector<Route> all{
        {"GET", "/health", &OperatorInterface::answerHealth},
        {"GET", "/ready", &OperatorInterface::answerReady},
        {"GET", "/metrics", &OperatorInterface::answerMetrics},
        {"GET", "/burn", &OperatorInterface::answerBurn},
        {"GET", "/status", &OperatorInterface::answerStatus},
        {"GET", "/configuration", &OperatorInterface::answerConfiguration},
        {"GET", "/configuration/history", &OperatorInterface::answerHistory},
        {"GET", "/configuration/status", &OperatorInterface::answerConfigurationStatus},
        {"PATCH", "/configuration", &OperatorInterface::answerPatch},
    };
    return all;
}

bool OperatorInterface::answer(const http::HttpExchangePointer &exchange)
{
    const auto &request = exchange->request();
    const auto path = request.path();
    for (const auto &route : routes()) {
        if (route.method == request.method && route.path == path) {
            (this->*route.handler)(exchange);
            return true;
        }
    }
    if (request.method == "POST" && path.substr(0, drainPrefix.size()) == drainPrefix) {
        answerDrain(exchange, path.substr(drainPrefix.size()));
        return true;
    }
    return false;
}

void OperatorInterface::answerHealth(const http::HttpExchangePointer &exchange)
{
    exchange->respond(http::jsonResponse(statusOk, R"({"healthy":true})"));
}

void OperatorInterface::answerReady(const http::HttpExchangePointer &exchange)
{
    const bool isReady = m_services.isReady();
    exchange->respond(http::jsonResponse(isReady ? statusOk : statusUnavailable, Json{{"ready", isReady}}.dump()));
}

void OperatorInterface::answerMetrics(const http::HttpExchangePointer &exchange)
{
    http::HttpResponse response;
    response.headers.add("Content-Type", "text/plain; version=0.0.4");
    response.body = m_services.requestMetrics.metricsText();
    exchange->respond(std::move(response));
}

void OperatorInterface::answerBurn(const http::HttpExchangePointer &exchange)
{
    exchange->respond(http::jsonResponse(statusOk, m_services.requestMetrics.burnJson()));
}

void OperatorInterface::answerStatus(const http::HttpExchangePointer &exchange)
{
    Json servers = Json::array();
    for (const auto &status : m_services.backends.statuses()) {
        servers.push_back({{"vm", status.vm.text()},
                           {"dataCentre", status.dataCentre.text()},
                           {"state", status.state},
                           {"routable", status.isRoutable},
                           {"inFlight", status.inFlight},
                           {"limit", status.limit},
                           {"queued", status.queued},
                           {"outstandingTokens", status.outstandingTokens},
                           {"lastSeenMs", status.lastSeenMs}});
    }
    const Json entry{{"vm", m_services.localHello.vm.text()},
                     {"dataCentre", m_services.localHello.dataCentre.text()},
                     {"state", std::string(wire::nameOf(m_services.state()))},
                     {"configurationVersion", m_services.configuration.version().number()},
                     {"stale", m_services.updater.isStale()}};
    exchange->respond(http::jsonResponse(statusOk, Json{{"entry", entry}, {"backendServers", servers}}.dump()));
}

void OperatorInterface::answerConfiguration(const http::HttpExchangePointer &exchange)
{
    const auto active = m_services.configuration.active();
    auto response = http::jsonResponse(
        statusOk, active->text.empty() ? std::string(configuration::emptyDocumentText()) : active->text);
    response.headers.add("ETag", "\"" + std::to_string(active->version.number()) + "\"");
    exchange->respond(std::move(response));
}

void OperatorInterface::answerHistory(const http::HttpExchangePointer &exchange)
{
    m_services.store.read(configurationKey, [exchange](const auto &result) {
        if (!core::isOk(result)) {
            exchange->respond(shared::problemResponse(core::errorOf(result)));
            return;
        }
        const auto &stored = core::valueOf(result);
        const auto record = stored ? configuration::decodeRecord(stored->value)
                                   : core::Result<configuration::ConfigurationRecord>(configuration::emptyRecord());
        if (!core::isOk(record)) {
            exchange->respond(shared::problemResponse(core::errorOf(record)));
            return;
        }
        const Json history{{"version", core::valueOf(record).version.number()},
                           {"history", Json::parse(configuration::historyJson(core::valueOf(record)))}};
        exchange->respond(http::jsonResponse(statusOk, history.dump()));
    });
}

void OperatorInterface::answerConfigurationStatus(const http::HttpExchangePointer &exchange)
{
    const auto version = m_services.configuration.version();
    Json processes = Json::array();
    processes.push_back({{"vm", m_services.localHello.vm.text()},
                         {"role", std::string(wire::nameOf(m_services.localHello.role))},
                         {"dataCentre", m_services.localHello.dataCentre.text()},
                         {"version", version.number()},
                         {"stale", m_services.updater.isStale()},
                         {"lastSeenMs", 0}});
    for (const auto &peer : m_services.peers.all()) {
        processes.push_back({{"vm", peer.vm.text()},
                             {"role", std::string(wire::nameOf(peer.role))},
                             {"dataCentre", peer.dataCentre.text()},
                             {"version", peer.version.number()},
                             {"stale", peer.version < version},
                             {"lastSeenMs", millisecondsSince(peer.lastSeen, m_clock.now())}});
    }
    exchange->respond(
        http::jsonResponse(statusOk, Json{{"version", version.number()}, {"processes", processes}}.dump()));
}

void OperatorInterface::answerPatch(const http::HttpExchangePointer &exchange)
{
    auto patch = patchFrom(exchange->request());
    if (!core::isOk(patch)) {
        exchange->respond(shared::problemResponse(core::errorOf(patch)));
        return;
    }
    m_services.patches.submit(core::takeValue(std::move(patch)),
                              [exchange](const auto &answer) { exchange->respond(patchResponse(answer)); });
}

void OperatorInterface::answerDrain(const http::HttpExchangePointer &exchange, std::string_view vm)
{
    const core::VmId id{std::string(vm)};
    const auto link = m_services.sides.find(id);
    if (!link) {
        exchange->respond(
            shared::problemResponse({core::ErrorKind::UnknownRoute, "no backend server on VM \"" + id.text() + "\""}));
        return;
    }
    link->send(wire::makeFrame(wire::BackendServerDrain{id}, m_services.configuration.version()));
    exchange->respond(http::jsonResponse(statusAccepted, Json{{"vm", id.text()}, {"state", "draining"}}.dump()));
}

} // namespace lycheelanding::daemon::entry

#include "lycheelanding/services/modelengine.h"

#include "lycheelanding/core/nametable.h"

#include "private/answerjson.h"

#include <array>

namespace lycheelanding::services {

namespace {

using Json = nlohmann::json;

constexpr std::array<core::NameEntry<MapCommandKind>, 4> commandNames{{
    {MapCommandKind::Stage, "stage"},
    {MapCommandKind::Arm, "arm"},
    {MapCommandKind::Release, "release"},
    {MapCommandKind::Withdraw, "withdraw"},
}};

constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusUnprocessable = 422;

core::Error unreadableAnswer(const std::string &detail)
{
    return core::Error{core::ErrorKind::BackendServerFailed, "the engine's answer cannot be read: " + detail};
}

/// Parses the answer's JSON and converts it with `read`; a failed request, another status and invalid JSON become
/// errors.
template <typename Value, typename Read>
core::Result<Value> parseAnswer(const core::Result<http::HttpResponse> &result, Read read)
{
    if (!core::isOk(result)) {
        return core::errorOf(result);
    }
    const auto &response = core::valueOf(result);
    if (response.status != statusOk) {
        return unreadableAnswer("status " + std::to_string(response.status));
    }
    const Json json = parsedAnswer(response.body);
    if (json.is_discarded()) {
        return unreadableAnswer("not JSON, or too large");
    }
    try {
        return read(json);
    } catch (const Json::exception &exception) {
        return unreadableAnswer(exception.what());
    }
}

template <typename Number>
std::optional<Number> optionalNumber(const Json &json, const char *key)
{
    const auto found = json.find(key);
    if (found == json.end() || found->is_null()) {
        return std::nullopt;
    }
    return Number(found->get<std::uint64_t>());
}

EngineLoad loadFrom(const Json &json)
{
    EngineLoad load;
    load.running = json.value("running", 0U);
    load.queued = json.value("queued", 0U);
    load.outstandingTokens = json.value("outstandingTokens", std::uint64_t(0));
    for (const auto &rank : json.value("ranks", Json::array())) {
        load.ranks.push_back(
            {core::RankIndex(rank.at("rank").get<std::uint64_t>()), rank.value("outstandingTokens", std::uint64_t(0))});
    }
    return load;
}

EngineState stateFrom(const Json &json)
{
    EngineState state;
    state.generation = core::Generation(json.at("generation").get<std::uint64_t>());
    state.incarnation = core::Incarnation(json.value("incarnation", std::uint64_t(0)));
    state.isJoining = json.value("joining", false);
    state.isSwitching = json.contains("decision") && json["decision"] == "switch";
    state.currentStep = core::StepNumber(json.at("currentStep").get<std::uint64_t>());
    state.activeMap = core::MapVersion(json.at("activeMapVersion").get<std::uint64_t>());
    state.stagedMap = optionalNumber<core::MapVersion>(json, "stagedMapVersion");
    state.armedStep = optionalNumber<core::StepNumber>(json, "armedStep");
    state.armedMap = optionalNumber<core::MapVersion>(json, "armedMapVersion");
    state.releasedStep = optionalNumber<core::StepNumber>(json, "releasedStep");
    if (const auto fencingToken = json.find("lastFencing"); fencingToken != json.end() && fencingToken->is_object()) {
        state.lastFencingToken.generation = core::Generation(fencingToken->value("generation", std::uint64_t(0)));
        state.lastFencingToken.incarnation = core::Incarnation(fencingToken->value("incarnation", std::uint64_t(0)));
        state.lastFencingToken.number = fencingToken->value("number", std::uint64_t(0));
    }
    return state;
}

Json toJson(const MapCommand &command)
{
    Json json{{"order", std::string(nameOf(command.kind))},
              {"fencing",
               {{"generation", command.fencingToken.generation.number()},
                {"incarnation", command.fencingToken.incarnation.number()},
                {"number", command.fencingToken.number}}},
              {"mapVersion", command.mapVersion.number()},
              {"step", command.step.number()},
              {"decision", command.switches ? "switch" : "keep"}};
    if (!command.map.empty()) {
        json["map"] = Json::parse(command.map, nullptr, false);
    }
    return json;
}

/// The engine has executed a command, refused its fencing token or generation (409), or cannot execute it (422). With
/// any other answer it is unknown whether the command was executed.
core::Status commandStatusFrom(const core::Result<http::HttpResponse> &result)
{
    if (!core::isOk(result)) {
        return core::errorOf(result);
    }
    const auto &response = core::valueOf(result);
    if (response.status == statusConflict) {
        return core::Error{core::ErrorKind::VersionConflict, "the engine refused the fencing token"};
    }
    if (response.status == statusUnprocessable) {
        return core::Error{core::ErrorKind::BackendServerFailed, "the engine cannot obey: " + response.body};
    }
    if (response.status != statusOk) {
        return core::Error{core::ErrorKind::BackendServerLost,
                           "the engine answered an order with status " + std::to_string(response.status)};
    }
    return core::Done();
}

} // namespace

std::string_view nameOf(MapCommandKind kind)
{
    return core::nameIn(commandNames, kind);
}

HttpModelEngine::HttpModelEngine(http::HttpClient &client, std::string baseUrl)
    : m_client(client), m_baseUrl(std::move(baseUrl))
{ }

http::HttpClientRequest HttpModelEngine::requestFor(const std::string &method, const std::string &path) const
{
    http::HttpClientRequest request;
    request.method = method;
    request.url = m_baseUrl + path;
    request.timeout = std::chrono::seconds(2);
    // Answers to commands do not name their command.
    request.sharesConnection = method == "GET";
    return request;
}

void HttpModelEngine::load(EngineLoadHandler onLoad)
{
    m_client.fetch(requestFor("GET", "/load"), [onLoad = std::move(onLoad)](const auto &result) {
        onLoad(parseAnswer<EngineLoad>(result, loadFrom));
    });
}

void HttpModelEngine::state(EngineStateHandler onState)
{
    m_client.fetch(requestFor("GET", "/state"), [onState = std::move(onState)](const auto &result) {
        onState(parseAnswer<EngineState>(result, stateFrom));
    });
}

void HttpModelEngine::expertCounts(EngineCountsHandler onCounts)
{
    m_client.fetch(requestFor("GET", "/expert-counts"), [onCounts = std::move(onCounts)](const auto &result) {
        onCounts(parseAnswer<EngineExpertCounts>(result, [](const Json &json) {
            return EngineExpertCounts{json.at("layers").get<std::vector<std::vector<std::uint64_t>>>()};
        }));
    });
}

void HttpModelEngine::command(const MapCommand &command, EngineResultHandler onDone)
{
    auto request = requestFor("POST", "/orders");
    request.headers.add("Content-Type", "application/json");
    request.body = toJson(command).dump();
    m_client.fetch(std::move(request),
                   [onDone = std::move(onDone)](const auto &result) { onDone(commandStatusFrom(result)); });
}

void HttpModelEngine::map(EngineMapHandler onMap)
{
    m_client.fetch(requestFor("GET", "/map"), [onMap = std::move(onMap)](const auto &result) {
        onMap(parseAnswer<EngineMap>(result, [](const Json &json) {
            return EngineMap{core::MapVersion(json.at("mapVersion").get<std::uint64_t>()), json.at("map").dump()};
        }));
    });
}

void HttpModelEngine::formGroup(const GroupFormationCommand &command, EngineResultHandler onDone)
{
    auto request = requestFor("POST", "/generation");
    request.headers.add("Content-Type", "application/json");
    request.body = Json{{"generation", command.generation.number()},
                        {"mapVersion", command.mapVersion.number()},
                        {"step", command.step.number()},
                        {"map", Json::parse(command.map, nullptr, false)}}
                       .dump();
    m_client.fetch(std::move(request),
                   [onDone = std::move(onDone)](const auto &result) { onDone(commandStatusFrom(result)); });
}

} // namespace lycheelanding::services

#pragma once

#include "lycheelanding/core/ids.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/http/httpclient.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheelanding::services {

/// Request header with the index of the rank that serves the request.
inline constexpr std::string_view rankHeader = "X-Rank";

struct EngineRankLoad
{
    core::RankIndex rank;
    std::uint64_t outstandingTokens = 0;
};

/// Load as the engine reports it; the report lags behind the actual load.
struct EngineLoad
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t outstandingTokens = 0;
    std::vector<EngineRankLoad> ranks;
};

/// Fencing token of a command. An engine that honours fencing refuses a command whose token is lower than the last one
/// that it has seen.
struct FencingToken
{
    core::Generation generation;
    core::Incarnation incarnation;
    std::uint64_t number = 0;
};

enum class MapCommandKind : std::uint8_t {
    Stage,
    Arm,
    Release,
    Withdraw,
};

std::string_view nameOf(MapCommandKind kind);

/// A command of a map switch to the ranks that an engine runs.
struct MapCommand
{
    MapCommandKind kind = MapCommandKind::Stage;
    FencingToken fencingToken;
    core::MapVersion mapVersion;
    core::StepNumber step;
    /// With Release: true switches to the staged map from `step` on, false keeps the active map.
    bool switches = false;
    /// With Stage: the map as JSON {"layers": [[[ranks of expert 0], ...], ...]}.
    std::string map;
};

/// Moves the engine's ranks into a new generation of their group, which continues at `step`.
struct GroupFormationCommand
{
    core::Generation generation;
    core::MapVersion mapVersion;
    core::StepNumber step;
    /// As in MapCommand.
    std::string map;
};

/// The active map of an engine.
struct EngineMap
{
    core::MapVersion version;
    /// As in MapCommand.
    std::string map;
};

/// State of an engine in its group and in a map switch.
struct EngineState
{
    /// Changes with every start of the engine.
    core::Incarnation incarnation;
    /// True until the engine has run a step with its group in this generation.
    bool isJoining = false;
    core::Generation generation;
    core::StepNumber currentStep;
    core::MapVersion activeMap;
    std::optional<core::MapVersion> stagedMap;
    std::optional<core::StepNumber> armedStep;
    std::optional<core::MapVersion> armedMap;
    std::optional<core::StepNumber> releasedStep;
    /// With a released step: whether the armed map is active from that step on.
    bool isSwitching = false;
    FencingToken lastFencingToken;
};

/// Tokens per layer and expert in the engine's last counting period; empty when there are none.
struct EngineExpertCounts
{
    std::vector<std::vector<std::uint64_t>> layers;
};

using EngineLoadHandler = std::function<void(core::Result<EngineLoad>)>;
using EngineStateHandler = std::function<void(core::Result<EngineState>)>;
using EngineCountsHandler = std::function<void(core::Result<EngineExpertCounts>)>;
using EngineMapHandler = std::function<void(core::Result<EngineMap>)>;
using EngineResultHandler = std::function<void(core::Status)>;

template <typename Type>
concept ModelEngine = requires(Type &engine, const MapCommand &command, EngineLoadHandler onLoad,
                               EngineStateHandler onState, EngineCountsHandler onCounts, EngineResultHandler onDone)
{
    engine.load(onLoad);
    engine.state(onState);
    engine.expertCounts(onCounts);
    engine.command(command, onDone);
};

/// Client of a model engine over HTTP. Handlers are called on the thread of the HTTP client.
class HttpModelEngine
{
public:
    HttpModelEngine(http::HttpClient &client, std::string baseUrl);

    void load(EngineLoadHandler onLoad);
    void state(EngineStateHandler onState);
    void expertCounts(EngineCountsHandler onCounts);
    /// Fails with VersionConflict when the engine refuses the fencing token, with BackendServerFailed when it cannot
    /// execute the command, and with other kinds when it may not have received the command.
    void command(const MapCommand &command, EngineResultHandler onDone);
    void map(EngineMapHandler onMap);
    /// Fails with VersionConflict when the engine is already in that generation or in a later one.
    void formGroup(const GroupFormationCommand &command, EngineResultHandler onDone);

private:
    http::HttpClientRequest requestFor(const std::string &method, const std::string &path) const;

    http::HttpClient &m_client;
    std::string m_baseUrl;
};

static_assert(ModelEngine<HttpModelEngine>);

} // namespace lycheelanding::services

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

/// Request header that names the rank of a group that is to serve a request.
inline constexpr std::string_view rankHeader = "X-Rank";

struct EngineRankLoad
{
    core::RankIndex rank;
    std::uint64_t outstandingTokens = 0;
};

/// Load as the engine reports it, with a lag.
struct EngineLoad
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t outstandingTokens = 0;
    std::vector<EngineRankLoad> ranks;
};

/// Orders the orders: an engine that honours fencing refuses one that is lower than the last it has seen.
struct FencingToken
{
    core::Generation generation;
    core::Incarnation incarnation;
    std::uint64_t number = 0;
};

enum class MapOrderKind : std::uint8_t {
    Stage,
    Arm,
    Release,
    Withdraw,
};

std::string_view nameOf(MapOrderKind kind);

/// One order of a map switch to the ranks that an engine holds.
struct MapOrder
{
    MapOrderKind kind = MapOrderKind::Stage;
    FencingToken fencingToken;
    core::MapVersion mapVersion;
    core::StepNumber step;
    /// With Release: true switches to the staged map from `step` on, false keeps the old one.
    bool switches = false;
    /// With Stage: the map as JSON {"layers": [[[ranks of expert 0], ...], ...]}.
    std::string map;
};

/// Takes the engine's ranks into a new generation of their group, which goes on at `step`.
struct GroupFormationOrder
{
    core::Generation generation;
    core::MapVersion mapVersion;
    core::StepNumber step;
    /// As in MapOrder.
    std::string map;
};

/// The map that an engine has in force, as in MapOrder.
struct EngineMap
{
    core::MapVersion version;
    std::string map;
};

/// Where an engine is within a map switch.
struct EngineState
{
    /// One life of the engine.
    core::Incarnation incarnation;
    /// True while the engine has not stepped with its group in this generation.
    bool isJoining = false;
    core::Generation generation;
    core::StepNumber currentStep;
    core::MapVersion activeMap;
    std::optional<core::MapVersion> stagedMap;
    std::optional<core::StepNumber> armedStep;
    std::optional<core::MapVersion> armedMap;
    std::optional<core::StepNumber> releasedStep;
    /// With a released step: whether the armed map is used from it on.
    bool isSwitching = false;
    FencingToken lastFencingToken;
};

/// Tokens per layer and expert in the engine's last period; empty when it has none.
struct EngineExpertCounts
{
    std::vector<std::vector<std::uint64_t>> layers;
};

using EngineLoadHandler = std::function<void(core::Result<EngineLoad>)>;
using EngineStateHandler = std::function<void(core::Result<EngineState>)>;
using EngineCountsHandler = std::function<void(core::Result<EngineExpertCounts>)>;
using EngineMapHandler = std::function<void(core::Result<EngineMap>)>;
using EngineOrderHandler = std::function<void(core::Status)>;

template <typename Type>
concept ModelEngine = requires(Type &engine, const MapOrder &order, EngineLoadHandler onLoad,
                               EngineStateHandler onState, EngineCountsHandler onCounts, EngineOrderHandler onDone)
{
    engine.load(onLoad);
    engine.state(onState);
    engine.expertCounts(onCounts);
    engine.order(order, onDone);
};

/// A model engine over HTTP. Handlers are called on a thread of the adapter.
class HttpModelEngine
{
public:
    HttpModelEngine(http::HttpClient &client, std::string baseUrl);

    void load(EngineLoadHandler onLoad);
    void state(EngineStateHandler onState);
    void expertCounts(EngineCountsHandler onCounts);
    /// Fails with VersionConflict when the engine refuses the fencing token, with BackendServerFailed when it cannot
    /// obey, and with other kinds when it may not have got the order.
    void order(const MapOrder &order, EngineOrderHandler onDone);
    void map(EngineMapHandler onMap);
    /// Fails with VersionConflict when the engine is in that generation already, or in a later one.
    void formGroup(const GroupFormationOrder &order, EngineOrderHandler onDone);

private:
    http::HttpClientRequest requestFor(const std::string &method, const std::string &path) const;

    http::HttpClient &m_client;
    std::string m_baseUrl;
};

static_assert(ModelEngine<HttpModelEngine>);

} // namespace lycheelanding::services

#include "engine/mapswitch.h"

#include "lycheelanding/core/nametable.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace lycheelanding::standins::engine {

namespace {

constexpr std::array<core::NameEntry<MapOrderKind>, 4> orderNames{{
    {MapOrderKind::Stage, "stage"},
    {MapOrderKind::Arm, "arm"},
    {MapOrderKind::Release, "release"},
    {MapOrderKind::Withdraw, "withdraw"},
}};

constexpr std::array<core::NameEntry<Decision>, 2> decisionNames{{
    {Decision::Switch, "switch"},
    {Decision::Keep, "keep"},
}};

template <typename Enum, std::size_t Size>
Enum enumFrom(const std::array<core::NameEntry<Enum>, Size> &table, const std::string &name)
{
    const auto value = core::valueIn(table, name);
    if (!value) {
        throw std::invalid_argument("unknown value " + name);
    }
    return *value;
}

} // namespace

MapOrder mapOrderFrom(const Json &json)
{
    MapOrder order;
    order.kind = enumFrom(orderNames, json.at("order").get<std::string>());
    const Json &fencingToken = json.at("fencing");
    order.fencingToken
        = {fencingToken.value("generation", Generation(0)), fencingToken.value("incarnation", Incarnation(0)),
           fencingToken.value("number", std::uint64_t(0))};
    order.mapVersion = json.value("mapVersion", MapVersion(0));
    order.step = json.value("step", Step(0));
    order.decision = enumFrom(decisionNames, json.value("decision", std::string("keep")));
    if (order.kind == MapOrderKind::Stage) {
        order.map = mapFrom(json.at("map"));
    }
    return order;
}

MapSwitch::MapSwitch(bool honoursFencing, Generation generation, ExpertMap map)
    : m_honoursFencing(honoursFencing), m_generation(generation), m_activeMap(std::move(map))
{ }

MapOrderOutcome MapSwitch::apply(const MapOrder &order, Step currentStep)
{
    if (m_honoursFencing && order.fencingToken < m_lastFencingToken) {
        return MapOrderOutcome::StaleFencingToken;
    }
    m_lastFencingToken = std::max(m_lastFencingToken, order.fencingToken);
    switch (order.kind) {
    case MapOrderKind::Stage:
        return stage(order);
    case MapOrderKind::Arm:
        return arm(order, currentStep);
    case MapOrderKind::Release:
        return release(order);
    case MapOrderKind::Withdraw:
        break;
    }
    withdraw();
    return MapOrderOutcome::Accepted;
}

MapOrderOutcome MapSwitch::stage(const MapOrder &order)
{
    if (m_armed) {
        return MapOrderOutcome::InvalidState;
    }
    if (!m_staged || m_staged->version != order.mapVersion) {
        m_staged = Staged{order.mapVersion, order.map, false};
    }
    return MapOrderOutcome::Accepted;
}

MapOrderOutcome MapSwitch::arm(const MapOrder &order, Step currentStep)
{
    const bool isRepeat = m_armed && m_armed->step == order.step && m_armed->version == order.mapVersion;
    if (isRepeat) {
        return MapOrderOutcome::Accepted;
    }
    const bool isStaged = m_staged && m_staged->loaded && m_staged->version == order.mapVersion;
    if (m_armed || !isStaged || order.step <= currentStep) {
        return MapOrderOutcome::InvalidState;
    }
    m_armed = Armed{order.step, order.mapVersion, std::nullopt};
    m_released.reset();
    return MapOrderOutcome::Accepted;
}

MapOrderOutcome MapSwitch::release(const MapOrder &order)
{
    if (m_armed && m_armed->step == order.step) {
        m_armed->decision = order.decision;
        m_released = Released{order.step, order.decision};
        return MapOrderOutcome::Accepted;
    }
    const bool isRepeat = m_released && m_released->step == order.step && m_released->decision == order.decision;
    return isRepeat ? MapOrderOutcome::Accepted : MapOrderOutcome::InvalidState;
}

void MapSwitch::withdraw()
{
    m_staged.reset();
    m_armed.reset();
}

void MapSwitch::markLoaded(MapVersion version)
{
    if (m_staged && m_staged->version == version) {
        m_staged->loaded = true;
    }
}

bool MapSwitch::startGeneration(Generation generation, MapVersion version, ExpertMap map)
{
    if (generation <= m_generation) {
        return false;
    }
    m_generation = generation;
    m_activeVersion = version;
    m_activeMap = std::move(map);
    withdraw();
    m_released.reset();
    return true;
}

void MapSwitch::beginStep(Step step)
{
    if (!m_armed || step < m_armed->step || !m_armed->decision) {
        return;
    }
    if (*m_armed->decision == Decision::Switch && m_staged) {
        m_activeVersion = m_staged->version;
        m_activeMap = std::move(m_staged->map);
    }
    withdraw();
}

bool MapSwitch::mayBegin(Step step) const
{
    return !m_armed || step < m_armed->step || m_armed->decision;
}

Json MapSwitch::state() const
{
    const bool isLoaded = m_staged && m_staged->loaded;
    return {{"generation", m_generation},
            {"activeMapVersion", m_activeVersion},
            {"stagedMapVersion", isLoaded ? Json(m_staged->version) : Json()},
            {"loadingMapVersion", m_staged && !isLoaded ? Json(m_staged->version) : Json()},
            {"armedStep", m_armed ? Json(m_armed->step) : Json()},
            {"armedMapVersion", m_armed ? Json(m_armed->version) : Json()},
            {"releasedStep", m_released ? Json(m_released->step) : Json()},
            {"decision", m_released ? Json(std::string(core::nameIn(decisionNames, m_released->decision))) : Json()},
            {"lastFencing",
             {{"generation", m_lastFencingToken.generation},
              {"incarnation", m_lastFencingToken.incarnation},
              {"number", m_lastFencingToken.number}}}};
}

} // namespace lycheelanding::standins::engine

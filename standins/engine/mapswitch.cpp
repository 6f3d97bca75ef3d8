#include "engine/mapswitch.h"

#include "lycheelanding/core/nametable.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace lycheelanding::standins::engine {

namespace {

constexpr std::array<core::NameEntry<MapCommandKind>, 4> commandNames{{
    {MapCommandKind::Stage, "stage"},
    {MapCommandKind::Arm, "arm"},
    {MapCommandKind::Release, "release"},
    {MapCommandKind::Withdraw, "withdraw"},
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

MapCommand mapCommandFrom(const Json &json)
{
    MapCommand command;
    command.kind = enumFrom(commandNames, json.at("order").get<std::string>());
    const Json &fencingToken = json.at("fencing");
    command.fencingToken
        = {fencingToken.value("generation", Generation(0)), fencingToken.value("incarnation", Incarnation(0)),
           fencingToken.value("number", std::uint64_t(0))};
    command.mapVersion = json.value("mapVersion", MapVersion(0));
    command.step = json.value("step", Step(0));
    command.decision = enumFrom(decisionNames, json.value("decision", std::string("keep")));
    if (command.kind == MapCommandKind::Stage) {
        command.map = mapFrom(json.at("map"));
    }
    return command;
}

MapSwitch::MapSwitch(bool honoursFencing, Generation generation, ExpertMap map)
    : m_honoursFencing(honoursFencing), m_generation(generation), m_activeMap(std::move(map))
{ }

MapCommandOutcome MapSwitch::apply(const MapCommand &command, Step currentStep)
{
    if (m_honoursFencing && command.fencingToken < m_lastFencingToken) {
        return MapCommandOutcome::StaleFencingToken;
    }
    m_lastFencingToken = std::max(m_lastFencingToken, command.fencingToken);
    switch (command.kind) {
    case MapCommandKind::Stage:
        return stage(command);
    case MapCommandKind::Arm:
        return arm(command, currentStep);
    case MapCommandKind::Release:
        return release(command);
    case MapCommandKind::Withdraw:
        break;
    }
    withdraw();
    return MapCommandOutcome::Accepted;
}

MapCommandOutcome MapSwitch::stage(const MapCommand &command)
{
    if (m_armed) {
        return MapCommandOutcome::InvalidState;
    }
    if (!m_staged || m_staged->version != command.mapVersion) {
        m_staged = Staged{command.mapVersion, command.map, false};
    }
    return MapCommandOutcome::Accepted;
}

MapCommandOutcome MapSwitch::arm(const MapCommand &command, Step currentStep)
{
    const bool isRepeat = m_armed && m_armed->step == command.step && m_armed->version == command.mapVersion;
    if (isRepeat) {
        return MapCommandOutcome::Accepted;
    }
    const bool isStaged = m_staged && m_staged->loaded && m_staged->version == command.mapVersion;
    if (m_armed || !isStaged || command.step <= currentStep) {
        return MapCommandOutcome::InvalidState;
    }
    m_armed = Armed{command.step, command.mapVersion, std::nullopt};
    m_released.reset();
    return MapCommandOutcome::Accepted;
}

MapCommandOutcome MapSwitch::release(const MapCommand &command)
{
    if (m_armed && m_armed->step == command.step) {
        m_armed->decision = command.decision;
        m_released = Released{command.step, command.decision};
        return MapCommandOutcome::Accepted;
    }
    const bool isRepeat = m_released && m_released->step == command.step && m_released->decision == command.decision;
    return isRepeat ? MapCommandOutcome::Accepted : MapCommandOutcome::InvalidState;
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

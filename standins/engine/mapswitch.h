#pragma once

#include "engine/expertmap.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace lycheelanding::standins::engine {

struct FencingToken
{
    Generation generation = 0;
    Incarnation incarnation = 0;
    std::uint64_t number = 0;

    bool operator<(const FencingToken &other) const
    {
        return std::tie(generation, incarnation, number) < std::tie(other.generation, other.incarnation, other.number);
    }
};

enum class MapCommandKind : std::uint8_t {
    Stage,
    Arm,
    Release,
    Withdraw,
};

enum class Decision : std::uint8_t {
    Switch,
    Keep,
};

struct MapCommand
{
    MapCommandKind kind = MapCommandKind::Stage;
    FencingToken fencingToken;
    MapVersion mapVersion = 0;
    ExpertMap map;
    Step step = 0;
    Decision decision = Decision::Keep;
};

/// Throws std::exception for a malformed command.
MapCommand mapCommandFrom(const Json &json);

enum class MapCommandOutcome : std::uint8_t {
    Accepted,
    /// The fencing token is lower than the highest one seen.
    StaleFencingToken,
    /// The command does not apply to the current state of the switch.
    InvalidState,
};

/// The active and the staged expert map of one engine, and the state of the switch between them.
class MapSwitch
{
public:
    MapSwitch(bool honoursFencing, Generation generation, ExpertMap map);

    MapCommandOutcome apply(const MapCommand &command, Step currentStep);
    /// Marks the staged map as loaded if it still has this version.
    void markLoaded(MapVersion version);
    /// Activates `map` at once in a new generation; returns false when the generation is not newer.
    bool startGeneration(Generation generation, MapVersion version, ExpertMap map);
    /// Applies a released decision once `step` has reached the armed step.
    void beginStep(Step step);

    /// False while the armed step, or a later one, waits for its release.
    bool mayBegin(Step step) const;
    bool isLoading() const { return m_staged && !m_staged->loaded; }
    Generation generation() const { return m_generation; }
    MapVersion activeVersion() const { return m_activeVersion; }
    const ExpertMap &activeMap() const { return m_activeMap; }
    Json state() const;

private:
    struct Staged
    {
        MapVersion version = 0;
        ExpertMap map;
        bool loaded = false;
    };

    struct Armed
    {
        Step step = 0;
        MapVersion version = 0;
        std::optional<Decision> decision;
    };

    struct Released
    {
        Step step = 0;
        Decision decision = Decision::Keep;
    };

    MapCommandOutcome stage(const MapCommand &command);
    MapCommandOutcome arm(const MapCommand &command, Step currentStep);
    MapCommandOutcome release(const MapCommand &command);
    void withdraw();

    const bool m_honoursFencing;
    Generation m_generation;
    MapVersion m_activeVersion = 1;
    ExpertMap m_activeMap;
    std::optional<Staged> m_staged;
    std::optional<Armed> m_armed;
    std::optional<Released> m_released;
    FencingToken m_lastFencingToken;
};

} // namespace lycheelanding::standins::engine

#pragma once

#include "engine/enginesettings.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lycheelanding::standins::engine {

/// Report of an engine that its ranks are ready to begin a step.
struct BarrierArrival
{
    /// Nullopt for an engine that joins the group: it adopts the step of the group.
    std::optional<Step> step;
    Generation generation = 0;
    Incarnation incarnation = 0;
    /// Incarnation of the engine of rank 0 with which the arriving engine has stepped in this generation.
    std::optional<Incarnation> rankZeroIncarnation;
    std::vector<Rank> ranks;
    MapVersion mapVersion = 0;
};

enum class ArrivalOutcome : std::uint8_t {
    Waiting,
    /// The step is complete; the answer to an earlier arrival was lost.
    AlreadyDone,
    /// Another generation, another incarnation of an engine, or another step: the group needs a new generation.
    Refused,
};

/// The barrier that all ranks of a group pass before each step. Records the map versions that they use, for tests.
class StepBarrier
{
public:
    StepBarrier(Rank groupSize, Generation generation, Incarnation incarnation);

    ArrivalOutcome arrive(const BarrierArrival &arrival);
    /// Completes the step for which all ranks have arrived.
    void completeStep(std::chrono::steady_clock::time_point now);
    /// Begins a generation whose first step is `firstStep`; removes all members and arrivals.
    void startGeneration(Generation generation, Step firstStep);

    bool isComplete() const { return m_arrivedMapVersions.size() == m_groupSize; }
    /// The step that the ranks are about to begin.
    Step step() const { return m_lastStep + 1; }
    std::vector<Rank> absentRanks() const;
    Json report() const;

private:
    struct MapVersionSwitch
    {
        Step step = 0;
        MapVersion mapVersion = 0;
    };

    bool matchesGroup(const BarrierArrival &arrival) const;
    void recordMapVersions();

    const Rank m_groupSize;
    const Incarnation m_incarnation;
    Generation m_generation;
    Step m_lastStep = 0;
    /// Incarnation of the engine that holds each rank in this generation.
    std::map<Rank, Incarnation> m_memberIncarnations;
    std::map<Rank, MapVersion> m_arrivedMapVersions;
    std::uint64_t m_mixedSteps = 0;
    std::vector<MapVersionSwitch> m_switches;
    std::optional<std::chrono::steady_clock::time_point> m_lastStepTime;
    std::chrono::steady_clock::duration m_maxStepDuration{0};
};

} // namespace lycheelanding::standins::engine
